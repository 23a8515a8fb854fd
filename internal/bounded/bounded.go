// Package bounded limits how many bytes are read from files and remote peers, so that an endless input uses neither memory nor time
// beyond the limit.
package bounded

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// HeadBytes bounds the head (first line and all headers) of an HTTP response that this system reads as a client. Typical heads have
// a few hundred bytes; the default of net/http for a client is 10 MB, a tenth of a small VM's memory.
const HeadBytes = 32 << 10

// Error reports an input that exceeded its bound.
type Error struct {
	Input string // the input, for example "answer of a peer"
	Limit int64  // bytes, unless Input says otherwise
}

func (e *Error) Error() string { return fmt.Sprintf("%s is over its bound of %d", e.Input, e.Limit) }

// LimitExceeded reports whether err was caused by an exceeded bound, and returns the Input of that Error.
func LimitExceeded(err error) (what string, ok bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Input, true
	}
	return "", false
}

// initialBytes is the size of the first buffer when the length is not known.
const initialBytes = 4 << 10

// maxPreallocBytes bounds the buffer that is allocated for a stated length before any byte has arrived.
const maxPreallocBytes = 64 << 10

// statedGrowth is the factor by which a buffer grows whose sender has stated a greater length. The smaller buffers are garbage.
const statedGrowth = 4

// ReadAll reads r to its end. length is the length that the sender stated, negative if none; limit is the maximum number of bytes.
// reserve is called with the additional bytes before each allocation and may refuse it; nil allows all. what names the input in an *Error.
func ReadAll(r io.Reader, what string, length, limit int64, reserve func(n int64) error) ([]byte, error) {
	if length > limit {
		return nil, &Error{what, limit}
	}
	size := int64(initialBytes)
	if length >= 0 {
		size = min(length+1, maxPreallocBytes) // one more byte, so that EOF is read without growing the buffer
	}
	size = min(size, limit+1)
	if reserve != nil {
		if err := reserve(size); err != nil {
			return nil, err
		}
	}
	b := make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, &Error{what, limit}
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		case len(b) < cap(b):
			continue
		}
		grown := min(2*int64(cap(b)), limit+1)
		if length >= int64(len(b)) {
			grown = min(statedGrowth*int64(cap(b)), length+1)
		}
		if reserve != nil {
			if err := reserve(grown - int64(cap(b))); err != nil {
				return nil, err
			}
		}
		b = append(make([]byte, 0, grown), b...)
	}
}

// ReadFile reads a file of at most limit bytes. It also returns for endless files such as devices.
func ReadFile(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return ReadAll(f, "file "+path, -1, limit, nil)
}

// Body returns a body that fails once more than limit bytes were read from it. The caller has to close it.
func Body(body io.ReadCloser, what string, limit int64) io.ReadCloser {
	return &limitedBody{ReadCloser: body, what: what, remaining: limit, limit: limit}
}

type limitedBody struct {
	io.ReadCloser
	what             string
	remaining, limit int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		var b [1]byte
		if n, err := l.ReadCloser.Read(b[:]); n == 0 {
			return 0, err
		}
		return 0, &Error{l.what, l.limit}
	}
	n, err := l.ReadCloser.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
