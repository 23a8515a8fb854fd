package main

import (
	"bufio"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against a process that ends on a first or second stop signal while a stream is open.
func TestSignalsDuringStream(t *testing.T) {
	is := is.New(t)
	f, err := startFleet()
	defer f.close()
	is.NoErr(err)
	s := settings.Default()
	s.Name, s.DataCentre, s.Callers.Listen, s.Metrics.Listen, s.Log.Level = "vm", "a", "127.0.0.1:0", "", "error"
	s.Shutdown = settings.Shutdown{Drain: topo.Duration(time.Minute), Unlisted: true}
	s.Platform.URL = "http://" + f.platform.Addr().String()
	started, ended := make(chan *server.Server, 1), make(chan error, 1)
	go func() { ended <- serve(s, server.Options{Settings: s}, func(srv *server.Server) { started <- srv }) }()
	url := "http://" + (<-started).CallerAddress() + "/v1/completions"

	var resp *http.Response
	for { // until the configuration is in force
		req, err := http.NewRequest("POST", url, strings.NewReader(`{"model":"assistant","prompt":"p","max_tokens":200,"stream":true}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+demoKey)
		if resp, err = http.DefaultClient.Do(req); err == nil && resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	is.True(lines.Scan()) // the stream has begun
	for range 2 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	}
	done := false
	for lines.Scan() {
		done = done || lines.Text() == "data: [DONE]"
	}
	is.True(done) // the stream is complete
	is.NoErr(<-ended)
}

// Guards against a check that accepts a faulty settings file.
func TestCheckFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "s.jsonc")
	is.NoErr(os.WriteFile(file, []byte("{\"name\": \"v\", \"data_centre\": \"d\"} // fine\n"), 0o600))
	is.NoErr(checkFile(file))
	is.NoErr(os.WriteFile(file, []byte(`{"name": "v", "data_centre": "d", "colour": "red"}`), 0o600))
	is.True(checkFile(file) != nil)
}
