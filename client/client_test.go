package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/result"
)

// fakeEntryVM is a fake entry VM. handle answers all requests except those for addresses.
type fakeEntryVM struct {
	*httptest.Server
	fleet    *fakeFleet
	handle   func(w http.ResponseWriter, r *http.Request)
	mu       sync.Mutex
	received []*http.Request
}

type fakeFleet struct {
	mu              sync.Mutex
	entries         []*fakeEntryVM
	leaving         map[int]bool
	cacheTime       time.Duration
	addressRequests int
	now             time.Time
	sleeps          []time.Duration
	noAddresses     bool // requests for addresses fail
	executed        map[string]int
}

func newFleet(t *testing.T, n int) (*fakeFleet, *Client) {
	f := &fakeFleet{leaving: map[int]bool{}, cacheTime: time.Minute, now: time.Now(), executed: map[string]int{}}
	var first []string
	for range n {
		e := &fakeEntryVM{fleet: f}
		e.Server = httptest.NewServer(e)
		t.Cleanup(e.Close)
		f.entries = append(f.entries, e)
		first = append(first, e.host())
	}
	c, err := New(Options{InitialAddresses: first, Key: "secret", Seed: 3, Now: func() time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.now
	}, Sleep: func(_ context.Context, d time.Duration) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sleeps = append(f.sleeps, d)
		f.now = f.now.Add(d)
		return nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	return f, c
}

func (e *fakeEntryVM) host() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *fakeEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/addresses" {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.mu.Lock()
		e.received = append(e.received, r)
		e.mu.Unlock()
		e.handle(w, r)
		return
	}
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addressRequests++
	if f.noAddresses {
		http.Error(w, "", http.StatusServiceUnavailable)
		return
	}
	res := addresses.Response{KeepMS: f.cacheTime.Milliseconds()}
	for i, e := range f.entries {
		if !f.leaving[i] {
			res.Addresses = append(res.Addresses, addresses.Address{Address: e.host(), Weight: float64(1 + 2*i)})
		}
	}
	_ = json.NewEncoder(w).Encode(res)
}

func (e *fakeEntryVM) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

func (f *fakeFleet) handleAll(h func(w http.ResponseWriter, r *http.Request)) {
	for _, e := range f.entries {
		e.handle = h
	}
}

func (f *fakeFleet) requests() (n int) {
	for _, e := range f.entries {
		n += e.requests()
	}
	return n
}

func refuse(w http.ResponseWriter, code result.Code, x result.Execution, after time.Duration) {
	w.WriteHeader(code.Info().HTTP)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%d,"name":"x","message":"m","execution":"%s","retry_after_ms":%d}}`, code, x, after.Milliseconds())
}

// abortConnection closes the connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a client that fetches addresses for each request, ignores the weights, or uses an expired address.
func TestAddressesAreKeptForTheirTime(t *testing.T) {
	is := is.New(t)
	f, c := newFleet(t, 2)
	f.handleAll(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for range 200 {
		_, err := c.Do(t.Context(), &Request{Path: "/v1/completions"})
		is.NoErr(err)
	}
	is.Equal(f.addressRequests, 1)
	is.True(f.entries[1].requests() > 125 && f.entries[1].requests() < 175) // weight 3 of 4
	f.leaving[1] = true
	f.now = f.now.Add(f.cacheTime)
	before := f.entries[1].requests()
	for range 50 {
		_, err := c.Do(t.Context(), &Request{Path: "/v1/completions"})
		is.NoErr(err)
	}
	is.Equal(f.entries[1].requests(), before)
	is.Equal(f.addressRequests, 2)
	f.noAddresses = true
	f.now = f.now.Add(f.cacheTime)
	_, err := c.Do(t.Context(), &Request{Path: "/v1/completions"})
	is.NoErr(err) // sent to a configured first address
}

// Guards against work that runs twice because the client retries a request that may have run, and against a client
// that does not retry a request that it may.
func TestRepeatsOnlyWhatIsAllowed(t *testing.T) {
	for _, c := range []struct {
		name        string
		r           Request
		firstAnswer func(w http.ResponseWriter, r *http.Request)
		repeat      bool
	}{
		{"not run", Request{}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.Overloaded, result.NotRun, time.Second) }, true},
		{"leaving", Request{}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.ShuttingDown, result.NotRun, 0) }, true},
		{"leaving, unknown", Request{}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.ShuttingDown, result.Unknown, 0) }, false},
		{"unknown", Request{}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.UpstreamFailed, result.Unknown, 0) }, false},
		{"unknown, idempotent", Request{Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.UpstreamFailed, result.Unknown, 0) }, true},
		{"unknown, with key", Request{Key: "k"}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.UpstreamFailed, result.Unknown, 0) }, true},
		{"no answer", Request{}, abortConnection, false},
		{"no answer, idempotent", Request{Idempotent: true}, abortConnection, true},
		{"final", Request{Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.Forbidden, result.NotRun, 0) }, false},
		{"outcome stays unknown", Request{Key: "k"}, func(w http.ResponseWriter, _ *http.Request) { refuse(w, result.KeyOutcomeUnknown, result.Unknown, 0) }, false},
		{"answer not from an entry VM", Request{}, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "gateway", http.StatusBadGateway) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, cl := newFleet(t, 3)
			f.handleAll(func(w http.ResponseWriter, r *http.Request) {
				f.mu.Lock()
				f.executed["all"]++
				n := f.executed["all"]
				f.mu.Unlock()
				if n == 1 {
					c.firstAnswer(w, r)
				}
			})
			r := c.r
			r.Path = "/services/booking/crews"
			_, err := cl.Do(t.Context(), &r)
			is.Equal(err == nil, c.repeat)
			is.Equal(f.requests() == 2, c.repeat)
		})
	}
}

// Guards against a client that does not try another entry VM when a connection is refused, also for work that must
// not run twice.
func TestDeadVMIsPassedOver(t *testing.T) {
	is := is.New(t)
	f, c := newFleet(t, 3)
	f.handleAll(func(w http.ResponseWriter, _ *http.Request) {})
	f.entries[2].Close()
	for range 20 {
		_, err := c.Do(t.Context(), &Request{Path: "/services/booking/crews"})
		is.NoErr(err)
	}
}

// Guards against clients that retry before the retry-after time, all at the same moment, or after their deadline.
func TestRetryAfterIsHonoured(t *testing.T) {
	is := is.New(t)
	f, c := newFleet(t, 2)
	f.handleAll(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, result.AccountRateLimit, result.NotRun, 2*time.Second)
	})
	_, err := c.Do(t.Context(), &Request{Path: "/v1/completions"})
	is.Equal(result.CodeOf(err), result.AccountRateLimit)
	distinct := map[time.Duration]bool{}
	for _, d := range f.sleeps {
		is.True(d >= 2*time.Second)
		is.True(d <= 3*time.Second)
		distinct[d] = true
	}
	is.Equal(len(distinct), DefaultAttempts)
	ctx, cancel := context.WithDeadline(t.Context(), f.now.Add(time.Second))
	defer cancel()
	before := f.requests()
	_, err = c.Do(ctx, &Request{Path: "/v1/completions"})
	is.Equal(result.CodeOf(err), result.AccountRateLimit)
	is.Equal(f.requests(), before+1)
}

// Guards against a booking that runs under two keys: an issued key may replace the caller's key only while the
// booking has certainly not run under it.
func TestIssuedKeyWhenClaimIsUnavailable(t *testing.T) {
	for _, lostFirst := range []bool{false, true} {
		is := is.New(t)
		f, c := newFleet(t, 2)
		bookings := 0
		f.handleAll(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			key := r.Header.Get(headerKey)
			switch {
			case r.URL.Path == "/v1/keys":
				_, _ = io.WriteString(w, `{"key":"ik1.a.1.x"}`)
			case strings.HasPrefix(key, "ik1."):
				f.executed["issued"]++
			default:
				bookings++
				if lostFirst && bookings == 1 {
					f.executed["caller"]++ // the booking runs, but its answer is lost
					abortConnection(w, r)
				}
				refuse(w, result.ClaimUnavailable, result.NotRun, time.Second)
			}
		})
		r := &Request{Path: "/services/booking/crews", Key: "mine"}
		_, err := c.Do(t.Context(), r)
		is.Equal(err != nil, lostFirst)
		is.Equal(f.executed["issued"]+f.executed["caller"], 1)
		is.Equal(r.Key == "mine", lostFirst)
		_, _ = c.Do(t.Context(), r) // the application retries the same booking
		is.Equal(f.executed["caller"] > 0 && f.executed["issued"] > 0, false)
	}
}

// Guards against a stream with missing or duplicate events after the connection to an entry VM fails in mid-stream.
func TestStreamResumes(t *testing.T) {
	is := is.New(t)
	f, c := newFleet(t, 3)
	const events = 40
	f.handleAll(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerStream, "stream-1")
		from := 0
		if o := r.Header.Get(headerOffset); o != "" {
			is.Equal(r.Header.Get(headerStream), "stream-1")
			_, _ = fmt.Sscan(o, &from)
			from++
		}
		for i := from; i < events; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"t\":%d}\n\n", i, i)
			if i%9 == 8 {
				_, _ = io.WriteString(w, "data: {\"t\":") // connection fails within an event
				w.(http.Flusher).Flush()
				abortConnection(w, r)
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	var got []string
	err := c.Stream(t.Context(), &Request{Path: "/v1/chat/completions", Body: []byte("{}")}, func(e Event) error {
		got = append(got, string(e.Data))
		return nil
	})
	is.NoErr(err)
	is.Equal(len(got), events)
	for i, d := range got {
		is.Equal(d, fmt.Sprintf(`{"t":%d}`, i))
	}
	stop := fmt.Errorf("enough")
	err = c.Stream(t.Context(), &Request{Path: "/v1/chat/completions"}, func(Event) error { return stop })
	is.Equal(err, stop)
}

// Guards against events that do not follow those that the receiver has, after an entry VM resumed the stream at a wrong place.
func TestOnlyAContinuationIsDelivered(t *testing.T) {
	piece := func(from, to int) string {
		out := ""
		for i := from; i <= to; i++ {
			out += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
		}
		return out
	}
	const end = "id: 9\ndata: end\n\ndata: [DONE]\n\n" // the last event has the count of the last piece
	for name, second := range map[string]string{"begins anew": piece(1, 9), "sets back": piece(4, 9), "leaves a piece out": piece(8, 9)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, c := newFleet(t, 3)
			var requests atomic.Int32
			f.handleAll(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerStream, "stream-1")
				switch requests.Add(1) {
				case 1:
					_, _ = io.WriteString(w, piece(1, 6))
					w.(http.Flusher).Flush()
					abortConnection(w, r)
				case 2:
					_, _ = io.WriteString(w, second+end)
				default:
					is.Equal(r.Header.Get(headerOffset), "6")
					_, _ = io.WriteString(w, piece(7, 9)+end)
				}
			})
			got := ""
			err := c.Stream(t.Context(), &Request{Path: "/v1/chat/completions", Body: []byte("{}")}, func(e Event) error {
				got += string(e.Data) + " "
				return nil
			})
			is.NoErr(err)
			is.Equal(got, "1 2 3 4 5 6 7 8 9 end ")
		})
	}
}

// Guards against a stream without an identifier that is retried after events were delivered.
func TestStreamWithoutIdentifierIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f, c := newFleet(t, 2)
	f.handleAll(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
		w.(http.Flusher).Flush()
		abortConnection(w, r)
	})
	err := c.Stream(t.Context(), &Request{Path: "/v1/chat/completions"}, func(Event) error { return nil })
	is.Equal(result.CodeOf(err), result.AnswerIncomplete)
	is.Equal(f.requests(), 1)
}
