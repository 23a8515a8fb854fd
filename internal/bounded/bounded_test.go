package bounded

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// zeros is an endless reader that counts the bytes read.
type zeros struct{ read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	z.read += int64(len(p))
	return len(p), nil
}

func (z *zeros) Close() error { return nil }

// Guards against reading more than the bound before the read fails, whether or not a length was stated.
func TestReadAllStopsAtItsBound(t *testing.T) {
	is := is.New(t)
	for _, length := range []int64{-1, 5, 100 << 10} {
		z := &zeros{}
		_, err := ReadAll(z, "answer", length, 100<<10, nil)
		what, ok := LimitExceeded(err)
		is.True(ok)
		is.Equal(what, "answer")
		is.True(z.read <= 100<<10+1)
	}
	z := &zeros{}
	_, err := ReadAll(z, "answer", 100<<10+1, 100<<10, nil)
	_, ok := LimitExceeded(err)
	is.True(ok)
	is.Equal(z.read, int64(0)) // the stated length alone is over the bound
}

// Guards against refusing or truncating an answer that has exactly the maximum or the stated length.
func TestReadAllReturnsWhatFits(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, initialBytes, initialBytes + 1, 100 << 10} {
		want := bytes.Repeat([]byte{'x'}, size)
		for _, length := range []int64{-1, int64(size)} {
			got, err := ReadAll(bytes.NewReader(want), "answer", length, 100<<10, nil)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
		}
	}
	_, err := ReadAll(io.MultiReader(strings.NewReader("a"), failingReader{}), "answer", -1, 10, nil)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against growing the buffer after reserve has refused the memory, and against reserving less than is allocated.
func TestReadAllReservesWhatItTakes(t *testing.T) {
	is := is.New(t)
	full := errors.New("full")
	reserved := int64(0)
	_, err := ReadAll(&zeros{}, "answer", -1, 1<<20, func(n int64) error {
		if reserved+n > 50<<10 {
			return full
		}
		reserved += n
		return nil
	})
	is.Equal(err, full)
	is.Equal(reserved, int64(32<<10)) // doubled from 4 KB; 64 KB were refused

	reserved = 0
	_, err = ReadAll(bytes.NewReader(make([]byte, 100<<10)), "answer", 100<<10, 1<<20, func(n int64) error {
		reserved += n
		return nil
	})
	is.NoErr(err)
	is.Equal(reserved, int64(100<<10+1)) // the stated length and one byte to read EOF
}

// Guards against reading an endless file, such as a device, without a limit.
func TestReadFileStopsAtItsBound(t *testing.T) {
	is := is.New(t)
	_, err := ReadFile("/dev/zero", 1<<10)
	_, ok := LimitExceeded(err)
	is.True(ok)
	path := filepath.Join(t.TempDir(), "f")
	is.NoErr(os.WriteFile(path, []byte("text"), 0o600))
	got, err := ReadFile(path, 4)
	is.NoErr(err)
	is.Equal(string(got), "text")
}

// Guards against reading a body beyond its bound, and against refusing one that has exactly the maximum length.
func TestBodyStopsAtItsBound(t *testing.T) {
	is := is.New(t)
	n, err := io.Copy(io.Discard, Body(&zeros{}, "answer", 1000))
	_, ok := LimitExceeded(err)
	is.True(ok)
	is.Equal(n, int64(1000))
	got, err := io.ReadAll(Body(io.NopCloser(strings.NewReader("four")), "answer", 4))
	is.NoErr(err)
	is.Equal(string(got), "four")
}
