package bounded

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against lines that are counted wrongly where reads cut them, and against an end of the head that is missed.
func TestHeadsAreCountedAcrossReads(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]HeadCounter{
		"\r\n\nGET /\r\na: b\nc: d\r\n\r\nbody\n\n": {Size: 23, Lines: 3, EmptyLines: 2},
		"GET /\n\n":         {Size: 7, Lines: 1},
		"GET /\n\r\r\n\r\n": {Size: 11, Lines: 2},
	} {
		for size := 1; size <= len(text); size++ {
			h, ended := HeadCounter{}, false
			for rest := text; rest != "" && !ended; {
				n := min(size, len(rest))
				ended = h.Count([]byte(rest[:n]))
				rest = rest[n:]
			}
			is.True(ended)
			is.Equal(fmt.Sprint(h.Size, h.Lines, h.EmptyLines), fmt.Sprint(want.Size, want.Lines, want.EmptyLines))
		}
	}
}
