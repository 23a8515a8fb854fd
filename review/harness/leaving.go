//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	leavingAttempts = 20
	leavingWork     = 300 * time.Millisecond // that a booking takes at its server
	leavesAfter     = 50 * time.Millisecond  // the client leaves while its booking is at the server
)

func init() { register("leaving-client", 1, leavingClient) }

// leavingClient lets clients leave while their booking is at a server: they close their side of the connection and read what
// still comes, as an orderly close does. It checks that none of them gets a success that no server has given.
func leavingClient(r *rig, trouble bool) (bool, error) {
	if err := r.store.objects.Put("config", "main", standin.Config(3, host, "other", 4*time.Second)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string]serverRun{}
	ended := func(x serverRun) {
		mu.Lock()
		defer mu.Unlock()
		runs[x.id] = x
	}
	if _, err := r.startServer(serverOptions{
		id: "i-app-0", zone: "zone-0", ended: ended, work: func(string) time.Duration { return leavingWork },
	}); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableBound)
	broken := 0
	for n := range leavingAttempts {
		id := fmt.Sprintf("%010x", n+1)
		text, status, seal, err := bookAndLeave(r.vms[0], id, trouble)
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		x := runs[id]
		mu.Unlock()
		r.note("booking %s: the client reads status %d, seal %q, body %q, error %v; the server's run: answered %v", id, status, seal, text, err, x.whole)
		if status/100 == 2 && (seal == "" || text != standin.Body(id, "/once/booking")) {
			broken++
		}
	}
	r.note("%d of %d bookings got a success without the server's seal and body", broken, leavingAttempts)
	return broken == 0, nil
}

// bookAndLeave sends a booking and, if leave is set, closes the client's side of the connection after leavesAfter. It returns what the
// client then reads.
func bookAndLeave(v *vm, id string, leave bool) (body string, status int, seal string, err error) {
	c, err := net.Dial("tcp4", v.address(portCallers))
	if err != nil {
		return "", 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second)) // after an error the write fails as well
	text := "book a crew"
	if _, err := fmt.Fprintf(c, "POST /once/booking HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", host, id, len(text), text); err != nil {
		return "", 0, "", err
	}
	if leave {
		time.Sleep(leavesAfter)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return "", 0, "", err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return "", 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), resp.StatusCode, resp.Header.Get("Response-Seal"), err
}
