//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["model-names"] = func(l *lab) (string, error) {
		return playMemory(l, load{clients: 8, total: 11000, perSecond: 130, limit: 95 * time.Second, next: distinctModel})
	}
	cases["many-parts"] = func(l *lab) (string, error) {
		return playMemory(l, load{clients: 700, total: 12000, perSecond: 400, limit: 25 * time.Second, next: manyParts, firstEvent: 1800 * time.Millisecond})
	}
	cases["prompt-parts"] = func(l *lab) (string, error) {
		return playMemory(l, load{clients: 1200, total: 12000, perSecond: 600, limit: 25 * time.Second, next: longPart, firstEvent: 1800 * time.Millisecond})
	}
}

// load is what clients that are not controlled send.
type load struct {
	clients   int // connections
	total     int // requests
	perSecond int // of all clients together
	limit     time.Duration
	next      func(l *lab, n int) *request
	// firstEvent is the time until the first event of a stream; 0: 10 ms.
	firstEvent time.Duration
}

// distinctModel returns a stream whose model has a name that no other request names, in a head within the limit.
func distinctModel(l *lab, n int) *request {
	q := ordinary(n)[2]
	if l.trouble {
		name := fmt.Sprintf("m-%08d-", n)
		q.headers[0] = "Model: " + name + strings.Repeat("x", 15500-len(name))
	}
	return q
}

// manyParts returns a stream whose prompt lists 2,700 parts of its own, in a head within the limit.
func manyParts(l *lab, n int) *request {
	q := ordinary(n)[2]
	if l.trouble {
		var b strings.Builder
		b.WriteString("Prompt-Prefix: ")
		for i := 0; b.Len() < 15500; i++ {
			fmt.Fprintf(&b, "%x:0,", n<<12|i)
		}
		q.headers[2] = b.String() + "z:1"
	}
	return q
}

// longPart returns a stream whose prompt names a part of 16 million tokens, in a head of 200 bytes.
func longPart(l *lab, n int) *request {
	q := ordinary(n)[2]
	if l.trouble {
		q.headers[2] = fmt.Sprintf("Prompt-Prefix: a%x:16777000,%x:1", n, n)
	}
	return q
}

const (
	bookingClients = 24
	bookingWork    = 400 * time.Millisecond // on average
	warmUp         = 2 * time.Second        // each booking client has had answers on its connection
	restartDelay   = 500 * time.Millisecond
	allowedLosses  = 3 // of the rule LOST
)

// machine ends the process when it exceeds the memory of its machine, as the platform does, and starts it again.
func (l *lab) machine(v *vm, stop chan struct{}, ended *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now, _ := v.memory()
		if now <= memoryMB {
			continue
		}
		l.note("%s has %.1f MB, its machine %d MB: the platform ends it", v.name, now, memoryMB)
		ended.Add(1)
		v.kill()
		time.Sleep(restartDelay)
		if err := l.launch(v); err != nil {
			l.note("%v", err)
			return
		}
	}
}

// playMemory has clients send requests to one VM beside ordinary bookings over kept connections, and counts the bookings that were
// passed on to a server and whose connection was closed without an answer.
func playMemory(l *lab, w load) (string, error) {
	if err := l.startFleet(2); err != nil {
		return "", err
	}
	for _, s := range l.servers {
		if s.service == "app" {
			s.work = func(*http.Request) time.Duration { return bookingWork/2 + rand.N(bookingWork) }
		} else if w.firstEvent > 0 {
			s.work = func(*http.Request) time.Duration { return w.firstEvent }
		}
	}
	stop := make(chan struct{})
	go l.heartbeat(stop)
	v := l.vms[0]
	before, _ := v.memory()
	l.note("%s has %.0f MB of %d MB before", v.name, before, memoryMB)
	var ends atomic.Int64
	var machine, ordinaryClients sync.WaitGroup
	machine.Go(func() { l.machine(v, stop, &ends) })
	var served, lost atomic.Int64
	for range bookingClients {
		ordinaryClients.Go(func() { l.book(v, stop, &served, &lost) })
	}
	time.Sleep(warmUp)
	sent, statuses := l.sendAll(v, w, func() bool { return ends.Load() > 0 })
	l.note("%d requests of the other clients, answers by status (0: none): %v", sent, statuses)
	time.Sleep(500 * time.Millisecond) // the clients notice what was closed
	after, _ := v.memory()
	l.note("%s has %.0f MB after they have left, and was ended %d times", v.name, after, ends.Load())
	close(stop)
	ordinaryClients.Wait()
	machine.Wait()
	l.note("bookings: %d served, %d passed on to a server that ran them and closed without an answer", served.Load(), lost.Load())
	if served.Load() == 0 {
		return "", errNoFleet
	}
	if n := lost.Load(); n > allowedLosses {
		return fmt.Sprintf("LOST: %d requests on kept connections were passed on to sound servers and closed without an answer, as the process took more than %d MB",
			n, memoryMB), nil
	}
	return "", nil
}

// book sends bookings over a kept connection, one after the other.
func (l *lab) book(v *vm, stop chan struct{}, served, lost *atomic.Int64) {
	var c *client
	used := false // the connection has had an answer
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dial(v.front); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			used = false
		}
		q := ordinary(n)[0]
		a := c.do(q)
		switch {
		case a.status == http.StatusOK && a.whole:
			served.Add(1)
			used = true
			continue
		case a.status != 0:
			l.note("booking %s: %v", q.id, &a)
		case used && l.ranOnce(q.id):
			lost.Add(1)
			l.note("booking %s: a server ran it, and the client got %v", q.id, &a)
		}
		_ = c.Close()
		c = nil
	}
}

// ranOnce reports whether a server ran a request.
func (l *lab) ranOnce(id string) bool {
	for _, s := range l.servers {
		s.mu.Lock()
		n := s.ran[id]
		s.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// sendAll sends a load until it is over or over reports true, and returns what was sent and answered.
func (l *lab) sendAll(v *vm, w load, over func() bool) (sent int, statuses map[int]int) {
	began := time.Now()
	statuses = map[int]int{}
	var mu sync.Mutex
	var number atomic.Int64
	var clients sync.WaitGroup
	for range w.clients {
		clients.Go(func() {
			var c *client
			for !over() && time.Since(began) < w.limit {
				n := int(number.Add(1))
				if n > w.total {
					break
				}
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(w.perSecond))))
				if c == nil {
					var err error
					if c, err = dial(v.front); err != nil {
						continue
					}
				}
				q := w.next(l, n)
				if size := len(q.head()); size > headerBytes {
					panic(fmt.Sprint("a head has ", size, " bytes"))
				}
				a := c.do(q)
				mu.Lock()
				sent++
				statuses[a.status]++
				mu.Unlock()
				if a.status == 0 || !a.whole {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	for {
		now, peak := v.memory()
		l.note("%d requests of the other clients begun; %s has %.0f MB, most %.0f MB", number.Load(), v.name, now, peak)
		select {
		case <-done:
			return sent, statuses
		case <-time.After(5 * time.Second):
		}
	}
}
