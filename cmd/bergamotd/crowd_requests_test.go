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

// crowdFieldBytes is the length of a header's value or a request target whose head is just of legal size.
const crowdFieldBytes = 15500

// crowdHead is a request whose clients choose its parts.
type crowdHead struct {
	method, target, host string
	headers              map[string]string
	body                 string
}

// streamHead returns an ordinary request for a stream.
func streamHead(id string) *crowdHead {
	return &crowdHead{method: http.MethodPost, target: "/stream/x", host: "h", headers: map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "3000", "Model": "m", "Token-Counts": "900,60", "Prompt-Prefix": "aa:512," + id + ":388", "Content-Length": "0",
	}}
}

func (h *crowdHead) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", h.method, h.target, h.host)
	for name, value := range h.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n" + h.body
}

// longName returns a name that no other request of a test has.
func longName(id string) string { return id + strings.Repeat("x", crowdFieldBytes-len(id)) }

// repeated returns the list of entry(0), entry(1) and so on that fits into a header.
func repeated(entry func(n int) string) string {
	var b strings.Builder
	for n := 0; b.Len() < crowdFieldBytes; n++ {
		b.WriteString(entry(n) + ",")
	}
	return b.String() + "z:1"
}

// header returns a change of a request that sets a header.
func header(name string, value func(id string) string) func(h *crowdHead, id string) {
	return func(h *crowdHead, id string) { h.headers[name] = value(id) }
}

// fixed returns a value that is the same for all requests.
func fixed(value string) func(string) string { return func(string) string { return value } }

// crowdRequestWays are changes of an ordinary request for a stream, each with all clients sending such requests one after the other.
var crowdRequestWays = []struct {
	name   string
	change func(h *crowdHead, id string)
}{
	{"names of models", header("Model", longName)},
	{"names of attempts", header("Attempt-Id", longName)},
	{"names of earlier attempts", header("Resumes", longName)},
	{"names of events", header("Last-Event-Id", longName)},
	{"keys", header("Authorization", func(id string) string { return "Bearer " + longName(id) })},
	{"names of accounts", header("Tenant", longName)},
	{"names of other headers", func(h *crowdHead, id string) { h.headers[longName(id)] = "a" }},
	{"headers of one connection", header("Connection", func(id string) string { return repeated(func(n int) string { return fmt.Sprintf("%s-%x", id, n) }) })},
	{"hosts", func(h *crowdHead, id string) { h.host = longName(id) }},
	{"paths", func(h *crowdHead, id string) { h.target += "/" + longName(id) }},
	{"paths without a route", func(h *crowdHead, id string) { h.target = "/" + longName(id) }},
	{"queries", func(h *crowdHead, id string) { h.target += "?" + longName(id) }},
	{"methods", func(h *crowdHead, id string) { h.method = longName(id) }},
	{"parts of 16 million tokens", header("Prompt-Prefix", func(id string) string { return "a" + id + ":16777000," + id + ":1" })},
	{"parts of a million tokens each", header("Prompt-Prefix", func(id string) string {
		return repeated(func(n int) string { return fmt.Sprintf("%s-%x:16000", id, n) })
	})},
	{"many parts", header("Prompt-Prefix", func(id string) string { return repeated(func(n int) string { return fmt.Sprintf("%s-%x:0", id, n) }) })},
	{"many parts with tokens", header("Prompt-Prefix", func(id string) string {
		return repeated(func(n int) string { return fmt.Sprintf("%s%x:9", id[len(id)-2:], n) })
	})},
	{"one part many times", header("Prompt-Prefix", fixed(repeated(func(int) string { return "a:0" })))},
	{"token counts of 16 million", header("Token-Counts", fixed("16777000,16777000"))},
	{"length hints of 16 million", header("Length-Hint", fixed("16777000"))},
	{"deadlines without end", header("Deadline-Ms", fixed("1e300"))},
	{"lengths of bodies that do not come", header("Content-Length", fixed("4194304"))},
	{"bodies of 1 MB", func(h *crowdHead, _ string) {
		h.headers["Content-Length"], h.body = "1048576", strings.Repeat("x", 1<<20)
	}},
}

// Guards against requests of legal size whose names, numbers and lists make the process use more memory than its machine has, keep what
// they named after their answers, end it, or leave it unable to serve.
func TestStatedNamesAndNumbersStayWithinTheProcessLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	for _, way := range crowdRequestWays {
		t.Run(strings.ReplaceAll(way.name, " ", "_"), func(t *testing.T) {
			knownred.Skip(t)
			is := is.New(t)
			engine, err := standin.NewServer(standin.ServerOptions{
				ID: "engine-0", Service: "text", Phase: "decode", Streams: true, Slots: crowdClients, Work: 20 * time.Millisecond, Observe: func(standin.Run) {},
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
						id := fmt.Sprintf("c%d-%d", client, n)
						h := streamHead(id)
						way.change(h, id)
						return h.text()
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
			server, err := standin.NewServer(standin.ServerOptions{ID: "engine-0", Service: "other", IP: servers, Slots: crowdClients, Observe: func(standin.Run) {}})
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
