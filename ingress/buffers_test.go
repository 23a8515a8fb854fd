package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/recvbuf"
)

const largeMessage = 4 << 20

// exchangeLarge sends a request with body and reads the answer.
func exchangeLarge(c net.Conn, r *bufio.Reader, method string, body []byte) error {
	q, err := http.NewRequest(method, "http://h/", bytes.NewReader(body))
	if err != nil {
		return err
	}
	if err := q.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, q)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// largeMessages reads a request's body and answers a GET with largeMessage bytes.
func largeMessages() http.Handler {
	message := make([]byte, largeMessage)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			_, _ = w.Write(message) // the connection may be closed
		}
	})
}

// Guards against kernel buffers that grow with what a client sends or reads quickly: Linux adapts them up to several MB each.
func TestKernelBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	h := largeMessages()
	g := New(Options{MemoryBytes: 144 << 20})
	c := dial(t, serve(t, g, h))
	r := bufio.NewReader(c)
	for range 5 {
		is.NoErr(exchangeLarge(c, r, http.MethodPost, make([]byte, largeMessage)))
		is.NoErr(exchangeLarge(c, r, http.MethodGet, nil))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns { // one
		raw, err := c.SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			for option, most := range map[int]int{syscall.SO_RCVBUF: 2 * recvbuf.MaxBytes, syscall.SO_SNDBUF: 2 * writeBytes} {
				n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option)
				is.NoErr(err)
				t.Logf("option %d: %d bytes", option, n)
				is.True(n <= most)
			}
		}))
	}
}

// BenchmarkLargeMessages compares requests and answers of 4 MB with and without a Guard, which alternate. with/without is the ratio of the
// median times.
func BenchmarkLargeMessages(b *testing.B) {
	for method, body := range map[string][]byte{http.MethodPost: make([]byte, largeMessage), http.MethodGet: nil} {
		b.Run(method, func(b *testing.B) {
			var conns [2]net.Conn
			var readers [2]*bufio.Reader
			for i, g := range []*Guard{nil, New(Options{MemoryBytes: 144 << 20, Descriptors: 4100})} {
				conns[i] = dial(b, serve(b, g, largeMessages()))
				_ = conns[i].SetDeadline(time.Time{})
				readers[i] = bufio.NewReaderSize(conns[i], 64<<10)
			}
			var took [2][]time.Duration
			for b.Loop() {
				for i := range conns {
					start := time.Now()
					if err := exchangeLarge(conns[i], readers[i], method, body); err != nil {
						b.Fatal(err)
					}
					took[i] = append(took[i], time.Since(start))
				}
			}
			median := func(d []time.Duration) float64 {
				slices.Sort(d)
				return float64(d[len(d)/2])
			}
			b.ReportMetric(median(took[1])/median(took[0]), "with/without")
		})
	}
}
