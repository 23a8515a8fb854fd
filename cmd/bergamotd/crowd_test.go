package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/knownred"
	"bergamotcroft.example/bergamot/platform/standin"
)

// Limits of the entry VM in these tests, and the number of clients. Half of the descriptors is for clients and a quarter stays free.
const (
	crowdMemoryMB   = 48
	crowdFDs        = 192
	crowdFDBound    = crowdFDs * 3 / 4
	crowdClients    = 80
	crowdOpenConns  = 170
	crowdClientTime = 4 * time.Second // ends a client that the VM keeps waiting; no verdict depends on it
)

// distinctLines returns header lines with distinct short names of size bytes in all. Like net/http, it ends lines with LF alone.
func distinctLines(size int) string {
	var b strings.Builder
	for n := int64(36 * 36); b.Len() <= size-5; n++ {
		b.WriteString(strconv.FormatInt(n, 36) + ":\n")
	}
	return b.String()
}

const (
	crowdGet  = "GET /once/x HTTP/1.1\r\nHost: h\r\n"
	crowdPost = "POST /once/x HTTP/1.1\r\nHost: h\r\n"
)

// sendAll writes text up to times times, until the VM closes the connection.
func sendAll(c net.Conn, text string, times int) {
	for range times {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// crowdWay is what each client of a crowd does on its connection. Afterwards it reads until the VM closes the connection, unless it is
// one that reads nothing.
type crowdWay struct {
	name      string
	listeners []int // ports: callers 9000, readiness 9001, peers 9002, directory 9003, metrics 9004
	conns     int
	send      func(c net.Conn)
	unread    bool
}

var crowdWays = []crowdWay{
	{"short lines of one name", []int{9000, 9001, 9002, 9003, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdPost+"Content-Length: 9\r\n"+strings.Repeat("a:\r\n", 4050)+"\r\n", 1)
	}, false},
	{"short lines of distinct names", []int{9000, 9001, 9002, 9003, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdPost+"Content-Length: 9\r\n"+distinctLines(16000)+"\r\n", 1)
	}, false},
	{"odd lines", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdPost+"Content-Length: 9\r\n"+strings.Repeat("a:\n b\n", 2600)+"\r\n", 1)
	}, false},
	{"large heads on kept-alive connections", []int{9000, 9002, 9003, 9004}, crowdClients, func(c net.Conn) {
		r := bufio.NewReader(c)
		for range 20 {
			sendAll(c, crowdGet+distinctLines(15000)+"\r\n", 1)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // the connection may be closed
		}
	}, false},
	{"pipelined requests", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) { sendAll(c, crowdGet+distinctLines(4000)+"\r\n", 200) }, true},
	{"a head without end", []int{9000, 9001, 9002, 9003, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdGet, 1)
		sendAll(c, distinctLines(16000), 60)
	}, false},
	{"a line without end", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) { sendAll(c, crowdGet+"a: "+strings.Repeat("x", 1<<20), 1) }, false},
	{"empty lines without end", []int{9000, 9002, 9003, 9004}, crowdClients, func(c net.Conn) { sendAll(c, strings.Repeat("\r\n", 4096), 60) }, false},
	{"chunks of one byte", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdPost+"Transfer-Encoding: chunked\r\n\r\n", 1)
		sendAll(c, strings.Repeat("1\r\nx\r\n", 1000), 50)
	}, false},
	{"trailers without end", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) {
		sendAll(c, crowdPost+"Transfer-Encoding: chunked\r\n\r\n0\r\n", 1)
		sendAll(c, distinctLines(16000), 60)
	}, false},
	{"connections that stay open", []int{9000, 9001, 9002, 9003, 9004}, crowdOpenConns, func(net.Conn) {}, false},
	{"bytes one at a time", []int{9000, 9002, 9004}, crowdClients, func(c net.Conn) {
		for _, b := range []byte(crowdGet + distinctLines(2000)) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
		}
	}, false},
	{"answers that are not read", []int{9000, 9002, 9003, 9004}, crowdClients, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 10) // a larger one only holds less in the VM
		sendAll(c, crowdGet+"\r\n", 20000)
	}, true},
	{"metrics that are not read", []int{9004}, crowdClients, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 10)
		sendAll(c, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 20000)
	}, true},
}

// Guards against clients that, each with requests of legal size or with bytes without end, make the process use more memory or
// descriptors than its machine has, end it, or leave it unable to serve.
func TestCrowdsStayWithinTheProcessLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	for _, way := range slices.Concat(crowdWays, peerWays) {
		for _, port := range way.listeners {
			t.Run(fmt.Sprint(strings.ReplaceAll(way.name, " ", "_"), "_at_", port), func(t *testing.T) {
				knownred.Skip(t)
				is := is.New(t)
				cmd, ip := startEdgeWithin(t, exec.Command(program, "edge", "--metrics", "9004"), crowdMemoryMB, crowdFDs, func(standin.Run) {})
				pid := cmd.Process.Pid
				calm := openDescriptors(t, pid)
				address := net.JoinHostPort(ip, strconv.Itoa(port))
				conns := make([]net.Conn, way.conns)
				var done sync.WaitGroup
				hold := t.Context().Done()
				if way.unread {
					ctx, cancel := context.WithTimeout(t.Context(), crowdClientTime)
					defer cancel()
					hold = ctx.Done()
				}
				for i := range conns {
					done.Go(func() {
						c, err := net.DialTimeout("tcp4", address, crowdClientTime)
						if err != nil {
							return
						}
						conns[i] = c
						_ = c.SetDeadline(time.Now().Add(crowdClientTime))
						way.send(c)
						if way.unread {
							<-hold
							return
						}
						_, _ = io.Copy(io.Discard, c) // ends with the connection or the deadline
					})
				}
				held := sampleHeld(t, pid, &done, ip)
				for _, c := range conns {
					if c != nil {
						_ = c.Close()
					}
				}
				o := ordinaryRequest(t, ip)
				is.Equal(o.Status, http.StatusOK) // one ordinary request afterwards
				status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
				is.NoErr(err) // the process lives
				peak := peakKB(status)
				t.Logf("peak memory %d KB, with unread bytes %d KB, descriptors %d, then %d", peak, held.memoryKB, calm, held.descriptors)
				is.True(peak > 0)
				is.True(peak <= crowdMemoryMB<<10)          // resident memory
				is.True(held.memoryKB <= crowdMemoryMB<<10) // with what has been received and not yet read
				is.True(held.descriptors <= crowdFDBound)   // while the clients are connected
				for openDescriptors(t, pid) > calm+crowdFDs/8 {
					time.Sleep(10 * time.Millisecond) // they fall back, or the test does not end
				}
			})
		}
	}
}

// buildProgram builds the daemon without the race detector, which takes several times the memory, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "bergamotd")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// held is the most that a process was seen to hold.
type held struct {
	descriptors int
	memoryKB    int // resident memory, and the bytes that the kernel has received for the process and that it has not read
}

// sampleHeld returns the most that a process was seen to hold until done. ip is its address, and upstreams are those of the servers that it
// sends requests to.
func sampleHeld(t *testing.T, pid int, done *sync.WaitGroup, ip string, upstreams ...string) (most held) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		done.Wait()
		close(ended)
	}()
	for {
		most.descriptors = max(most.descriptors, openDescriptors(t, pid))
		most.memoryKB = max(most.memoryKB, residentKB(t, pid)+unreadKB(t, ip, upstreams))
		select {
		case <-ended:
			return most
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// residentKB returns the resident memory of a process.
func residentKB(t *testing.T, pid int) int {
	t.Helper()
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err) // the process has ended
	}
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	if err != nil {
		t.Fatal(err)
	}
	return pages * os.Getpagesize() >> 10
}

// unreadKB returns the sum of the receive queues of all connections of an IP address, and of those to upstreams.
func unreadKB(t *testing.T, ip string, upstreams []string) int {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const listening = "0A"
	local, sum := procAddress(ip), 0
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line) // number, local address, remote address, state, queues
		if len(f) < 5 || f[3] == listening {
			continue
		}
		to := func(upstream string) bool { return strings.HasPrefix(f[2], procAddress(upstream)) }
		if !strings.HasPrefix(f[1], local) && !slices.ContainsFunc(upstreams, to) {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += int(n)
	}
	return sum >> 10
}

// procAddress returns an IP address as it begins an address in /proc/net/tcp.
func procAddress(ip string) string {
	return fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(net.ParseIP(ip).To4()))
}

// ordinaryRequest sends a request until it is not refused. A VM may close connections or answer 503 until it has noticed that the
// clients are gone.
func ordinaryRequest(t *testing.T, ip string) (o standin.Outcome) {
	for n := range 100 {
		c, err := standin.Dial(t.Context(), net.JoinHostPort(ip, "9000"))
		if err == nil {
			o = c.Do(standin.Attempt{ID: fmt.Sprint("after-", n), Host: "h", Path: "/once/x", Deadline: 5 * time.Second})
			_ = c.Close()
			if o.Status == http.StatusOK {
				return o
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return o
}

func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// peakKB returns the peak resident memory from the text of a process's status file.
func peakKB(status []byte) int {
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(string(fields[0]))
	return n
}
