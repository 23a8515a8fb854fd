package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/tailscale/hujson"

	"bergamotcroft.example/bergamot/admin/adminv1/adminv1connect"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Environment variables.
const (
	envServer   = "BERGAMOT_SERVER"
	envKey      = "BERGAMOT_KEY"
	envSettings = "BERGAMOT_SETTINGS"
)

const maxFileBytes = 32 << 20 // a configuration with 15,000 accounts takes about 8 MB

// Settings are the contents of the settings file. Flags and environment variables take precedence.
type Settings struct {
	Server  string `json:"server,omitempty"`   // addresses of entry VMs, separated by commas
	Key     string `json:"key,omitempty"`      // operator's key
	KeyFile string `json:"key_file,omitempty"` // file with the key, used when key is empty
	CA      string `json:"ca,omitempty"`       // file with the certificates to trust; empty: those of the system
}

type client = adminv1connect.AdminServiceClient

// session is the state of one command while it runs.
type session struct {
	Streams
	flags   *flags
	servers []string
	key     string
	http    *http.Client
}

func newSession(f *flags, st Streams) (*session, error) {
	if f.output != "" && f.output != "table" && f.output != "json" {
		return nil, result.New(result.MalformedRequest, "unknown output %q; use table or json", f.output)
	}
	set, err := readSettings(firstNonEmpty(f.settings, st.Env(envSettings)))
	if err != nil {
		return nil, err
	}
	s := &session{Streams: st, flags: f, key: firstNonEmpty(f.key, st.Env(envKey), set.Key), http: &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: bounded.HeadBytes}}}
	if s.key == "" && set.KeyFile != "" {
		b, err := os.ReadFile(set.KeyFile)
		if err != nil {
			return nil, result.New(result.SettingInvalid, "key_file: %v", err)
		}
		s.key = strings.TrimSpace(string(b))
	}
	for server := range strings.SplitSeq(firstNonEmpty(f.server, st.Env(envServer), set.Server), ",") {
		if server = strings.TrimSpace(server); server == "" {
			continue
		}
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		s.servers = append(s.servers, server)
	}
	if len(s.servers) == 0 {
		return nil, result.New(result.SettingMissing, "no server; use --server, %s or a settings file", envServer)
	}
	return s, s.trustCertificates(set.CA)
}

// trustCertificates makes the client trust the certificates of a file in place of those of the system.
func (s *session) trustCertificates(file string) error {
	if file == "" {
		return nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return result.New(result.SettingInvalid, "ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return result.New(result.SettingInvalid, "ca: %s has no certificate", file)
	}
	s.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, ForceAttemptHTTP2: true, MaxResponseHeaderBytes: bounded.HeadBytes}
	return nil
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

func readSettings(file string) (Settings, error) {
	if file == "" {
		return Settings{}, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, result.New(result.SettingInvalid, "settings: %v", err)
	}
	std, err := hujson.Standardize(b)
	if err != nil {
		return Settings{}, result.New(result.SettingSyntax, "%s: %v", file, err)
	}
	set, err := topo.Decode[Settings](std)
	if err != nil {
		return set, result.New(result.SettingUnknownField, "%s: %v", file, err)
	}
	return set, nil
}

// readInput returns the contents of a file, or of standard input for "-".
func (s *session) readInput(file string) ([]byte, error) {
	if file == "" {
		return nil, result.New(result.MalformedRequest, "a file is missing; use -f FILE")
	}
	in := s.In
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, result.New(result.MalformedRequest, "%v", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err == nil && len(b) > maxFileBytes {
		return nil, result.New(result.BodyTooLarge, "%s is larger than %d bytes", file, maxFileBytes)
	}
	return b, err
}

func (s *session) client(server string) client {
	return adminv1connect.NewAdminServiceClient(s.http, server, connect.WithInterceptors(bearer(s.key)), connect.WithReadMaxBytes(maxFileBytes))
}

// call calls f with one server after another until a connection is made. A call that may have reached a server is not repeated.
func call[T any](ctx context.Context, s *session, f func(context.Context, client) (T, error)) (T, error) {
	var out T
	var err error
	for _, server := range s.servers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err = f(callCtx, s.client(server))
		cancel()
		var op *net.OpError
		if err == nil || !errors.As(err, &op) || op.Op != "dial" {
			return out, err
		}
	}
	return out, err
}

// bearer is an interceptor that adds the operator's key to each call as a bearer token.
type bearer string

func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, r)
	}
}

func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		c := next(ctx, spec)
		c.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return c
	}
}

func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
