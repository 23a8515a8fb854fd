package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/knownred"
	"bergamotcroft.example/bergamot/platform/standin"
)

// Guards against requests of legal size whose names, numbers and lists make the process use more memory than its machine has, keep what
// they named after their answers, end it, or leave it unable to serve.
func TestStatedNamesAndNumbersStayWithinTheProcessLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	for _, way := range standin.StatedRequests {
		t.Run(strings.ReplaceAll(way.Name, " ", "_"), func(t *testing.T) {
			knownred.Skip(t)
			is := is.New(t)
			engine, err := standin.NewServer(standin.ServerOptions{
				ID: "server-0", Service: "text", Phase: "decode", Streams: true, Slots: crowdClients, Work: 20 * time.Millisecond, Observe: func(standin.Run) {},
			})
			is.NoErr(err)
			t.Cleanup(engine.Crash)
			cmd := exec.Command(program, "edge")
			cmd.Stdout = io.Discard // lines of log with long names
			_, ip := startEdgeWithin(t, cmd, crowdMemoryMB, 2*crowdFDs, func(standin.Run) {}, engine)
			var done sync.WaitGroup
			for client := range crowdClients {
				done.Go(func() {
					sendRequests(net.JoinHostPort(ip, "9000"), func(n int) string {
						return way.Head(fmt.Sprintf("c%d-%d", client, n))
					})
				})
			}
			most := sampleHeld(t, cmd.Process.Pid, &done, ip)
			o := ordinaryRequest(t, ip)
			is.Equal(o.Status, http.StatusOK) // one ordinary request afterwards
			t.Logf("most memory with unread bytes %d KB", most.memoryKB)
			is.True(most.memoryKB <= crowdMemoryMB<<10)
		})
	}
}

// sendRequests sends requests and reads their answers, on a new connection where the VM has closed the last one, for crowdClientTime.
func sendRequests(address string, request func(n int) string) {
	end := time.Now().Add(crowdClientTime)
	n := 0
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp4", address, time.Until(end))
		if err != nil {
			return
		}
		_ = c.SetDeadline(end) // after an error the write below fails as well
		r := bufio.NewReader(c)
		for {
			n++
			if _, err := io.WriteString(c, request(n)); err != nil {
				break
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				break
			}
		}
		_ = c.Close()
	}
}

// Guards against answers that the kernel has received from upstreams and that clients do not read, and against several copies of bodies that
// upstreams read slowly.
func TestLargeMessagesStayWithinTheProcessLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	const messageBytes = 4 << 20
	for _, way := range []struct {
		name, body string
		readRate   int // of the servers, bytes per second; 0: as they come
	}{
		{"answers of 4 MB that are not read", standin.LargeBody(0, messageBytes, "answer"), 0},
		{"answers of 250 KB that are not read", standin.LargeBody(0, 250<<10, "answer"), 0},
		{"bodies of 1 MB that servers read slowly", standin.LargeBody(1<<20, 10, "upload"), 64 << 10},
	} {
		t.Run(strings.ReplaceAll(way.name, " ", "_"), func(t *testing.T) {
			knownred.Skip(t)
			is := is.New(t)
			const servers = "127.99.99.4" // no other process uses it
			server, err := standin.NewServer(standin.ServerOptions{ID: "server-0", Service: "other", IP: servers, Slots: crowdClients, Observe: func(standin.Run) {}})
			is.NoErr(err)
			t.Cleanup(server.Crash)
			server.SetReadRate(way.readRate)
			cmd := exec.Command(program, "edge")
			_, ip := startEdgeWithin(t, cmd, crowdMemoryMB, 2*crowdFDs, func(standin.Run) {}, server)
			ctx, cancel := context.WithTimeout(t.Context(), crowdClientTime)
			defer cancel()
			var done sync.WaitGroup
			for client := range crowdClients {
				done.Go(func() {
					c, err := standin.DialSlow(ctx, net.JoinHostPort(ip, "9000"), slowReadRate, 1<<10)
					if err != nil {
						return
					}
					defer c.Close()
					c.Do(standin.Attempt{ID: fmt.Sprint("large-", client), Host: "h", Path: "/moving/x", Body: way.body, Deadline: time.Second})
				})
			}
			most := sampleHeld(t, cmd.Process.Pid, &done, ip, servers)
			o := ordinaryRequest(t, ip)
			is.Equal(o.Status, http.StatusOK) // one ordinary request afterwards
			t.Logf("most memory with unread bytes %d KB", most.memoryKB)
			is.True(most.memoryKB <= crowdMemoryMB<<10)
		})
	}
}

// slowReadRate is at how many bytes per second a client reads a large answer.
const slowReadRate = 1 << 10
