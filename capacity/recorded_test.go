package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const relayHead = "$ relay: go test -bench RelayedToken ./server\n"

// Guards against figures that are read from a wrong line or under a wrong name.
func TestReadRecorded(t *testing.T) {
	is := is.New(t)
	r, err := ReadRecorded(strings.NewReader("# comment\n\n" + relayHead +
		"BenchmarkRelayedToken/direct-10  \t 100\t 30 ns/op\t 12.5 cpu_ns/token\t 1 B/op\t 0 allocs/op\n" +
		"$ lease: go test ./lease\n" +
		"    figures_test.go:123: nodes=8 at rest: reads_per_s=43.9 writes_per_s=21.9 worst_second=76\n" +
		"nodes=8 dead=1 groups=5: without_authority_s=13.2 reads_per_s=44.5 writes_per_s=20.9 worst_second=83\n" +
		"nodes=32 at rest: reads_per_s=43.8 writes_per_s=21.9 worst_second=84\n" +
		"nodes=32 at rest: reads_per_s=43.7 writes_per_s=21.9 worst_second=84\n"))
	is.NoErr(err)
	is.Equal(r["relay"].Command, "go test -bench RelayedToken ./server")
	is.Equal(r["relay"].Lines[0].Values["cpu_ns/token"], 12.5)
	is.Equal(len(r["lease"].Lines), 4)
	is.Equal(r["lease"].Lines[1].Kind, "")
	is.Equal(r["lease"].Lines[1].Values["groups"], 5.0)
	_, _, err = r.points("lease", "at rest", "nodes", "reads_per_s") // only two different sizes
	is.True(err != nil)
	_, _, err = r.points("claims", "claims", "bookings_per_s", "writes_per_s")
	is.True(err != nil)
}

// Guards against lines that are skipped without an error, so that a figure is computed from only some of the measurements.
func TestReadRecordedRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"unknown section":     "$ weather: go test ./x\n",
		"section twice":       relayHead + relayHead,
		"no command":          "$ relay\n",
		"no section":          "nodes=8 at rest: reads_per_s=1 writes_per_s=1 worst_second=1\n",
		"line of another":     relayHead + "nodes=8 at rest: reads_per_s=1 writes_per_s=1 worst_second=1\n",
		"unknown line":        relayHead + "PASS\n",
		"unknown figure":      relayHead + "BenchmarkRelayedToken/direct-10 1 2 ns/op 3 cpu_ns/token 4 B/op 5 allocs/op 6 x\n",
		"missing figure":      relayHead + "BenchmarkRelayedToken/direct-10 1 2 ns/op 3 cpu_ns/token 4 B/op\n",
		"figure twice":        relayHead + "BenchmarkRelayedToken/direct-10 1 2 ns/op 3 cpu_ns/token 4 B/op 5 B/op\n",
		"odd benchmark line":  relayHead + "BenchmarkRelayedToken/direct-10 1 2 ns/op 3\n",
		"no number":           relayHead + "BenchmarkRelayedToken/direct-10 1 x ns/op\n",
		"no number after '='": "$ limits: go test\nmeasure=limits accounts_per_vm=27 calls_per_s=NAN? bytes_per_s=1\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ReadRecorded(strings.NewReader(text)); err == nil {
				t.Fatal("accepted")
			}
		})
	}
}

// Guards against a committed measurements file that the command can no longer read.
func TestCommittedMeasurements(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("../docs/capacity/measurements.txt")
	is.NoErr(err)
	defer f.Close()
	r, err := ReadRecorded(f)
	is.NoErr(err)
	for section := range lineFormats {
		is.True(r[section] != nil) // section is present
	}
}
