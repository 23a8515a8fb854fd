package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/client"
)

const streamTokens = 300

// completionBody returns the body of a streamed completion.
func completionBody(text string) []byte {
	return fmt.Appendf(nil, `{"model":"m1","prompt":%q,"max_tokens":%d,"stream":true}`, text, streamTokens)
}

// streamText runs a streamed completion through package client and returns its text. It calls onToken, if not nil, with the number of
// tokens so far.
func (s *system) streamText(callers []string, text string, onToken func(tokens int)) (string, error) {
	c, err := client.New(client.Options{InitialAddresses: callers, Key: callerKey, Seed: 1})
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var all strings.Builder
	tokens := 0
	r := &client.Request{Path: "/v1/completions", Body: completionBody(text), Idempotent: true}
	err = c.Stream(ctx, r, func(e client.Event) error {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal(e.Data, &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
			return nil
		}
		all.WriteString(chunk.Choices[0].Text)
		tokens++
		if onToken != nil {
			onToken(tokens)
		}
		return nil
	})
	return all.String(), err
}

// referenceAnswer returns the answer to a prompt while nothing fails.
func (s *system) referenceAnswer(text string) string {
	s.t.Helper()
	want, err := s.streamText(s.callers, text, nil)
	if err != nil || strings.Count(want, " ") < streamTokens-1 {
		s.t.Fatal("no reference answer: ", err, want)
	}
	return want
}

// Guards against a stream that is truncated, repeats tokens or contains another stream's tokens after the process that relays it is
// killed.
func TestKilledEntryVM(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	want := s.referenceAnswer("kill")
	killed := false
	got, err := s.streamText(s.callers, "kill", func(tokens int) {
		if tokens != streamTokens/3 {
			return
		}
		// Which VM relays the stream is not known here: kill all but the last, so that the relaying VM is killed unless it is the last.
		s.vms[0].signal(syscall.SIGKILL)
		s.vms[1].signal(syscall.SIGKILL)
		killed = true
	})
	is.NoErr(err)
	is.True(killed)
	is.Equal(got, want)
}

// Guards against a booking that runs twice when its request is repeated after its entry VM was killed.
func TestBookingSurvivesKilledEntryVM(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	const body = `{"key":"crew-7"}`
	status, first := s.do("POST", s.callers[0], "/services/booking/crews", body, "crew-7")
	is.Equal(status, 200)
	s.vms[0].signal(syscall.SIGKILL)
	// The repeat returns the recorded answer, or an unknown outcome if the record was lost with the process.
	status, second := s.do("POST", s.callers[1], "/services/booking/crews", body, "crew-7")
	if status == 200 {
		is.Equal(string(second), string(first))
	} else {
		is.True(strings.Contains(string(second), `"execution":"unknown"`))
	}
	is.True(strings.Contains(string(first), `"runs":1`))
	// A booking with another idempotency key but the same body returns the count of both: 2 unless the first ran twice.
	_, other := s.do("POST", s.callers[2], "/services/booking/crews", body, "crew-8")
	is.True(strings.Contains(string(other), `"runs":2`))
}

// Guards against a planned stop that truncates a stream or exits with an error, also when a second SIGTERM arrives meanwhile.
func TestSIGTERMDuringStreams(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	want := s.referenceAnswer("term")
	only := s.callers[:1]
	got, err := s.streamText(only, "term", func(tokens int) {
		if tokens == streamTokens/4 || tokens == streamTokens/2 {
			s.vms[0].signal(syscall.SIGTERM)
		}
	})
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(s.vms[0].waitExit(t), 0)
}

// Guards against an entry VM that acts on stale state after a pause or does not serve again, and against others that stop serving
// meanwhile.
func TestPausedEntryVM(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	s.vms[2].signal(syscall.SIGSTOP)
	s.eventually("the others take over its leases and go on", func() bool {
		_, err := s.streamText(s.callers[:2], "pause", nil)
		return err == nil
	})
	s.vms[2].signal(syscall.SIGCONT)
	s.eventually("it serves again", func() bool {
		status, _ := s.do("POST", s.callers[2], "/v1/completions", `{"model":"m1","prompt":"x","max_tokens":3}`, "")
		return status == 200
	})
	is.NoErr(s.ctl("get", "vms"))
}

// Guards against entry VMs that stop serving while the store hangs, against a booking that runs without its claim meanwhile, and
// against one that runs twice after the store has recovered.
func TestHangingStore(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	want := s.referenceAnswer("outage")
	status, issued := s.do("POST", s.callers[0], "/v1/keys", "", "")
	is.Equal(status, 200)
	var key struct {
		Key string `json:"key"`
	}
	is.NoErr(json.Unmarshal(issued, &key))

	s.platform.signal(syscall.SIGSTOP)
	got, err := s.streamText(s.callers, "outage", nil)
	is.NoErr(err)
	is.Equal(got, want)
	status, answer := s.do("POST", s.callers[1], "/services/booking/crews", `{"key":"issued"}`, key.Key)
	is.Equal(status, 200) // at an entry VM other than the one that issued the key
	is.True(strings.Contains(string(answer), `"runs":1`))
	status, answer = s.do("POST", s.callers[0], "/services/booking/crews", `{"key":"chosen"}`, "chosen")
	is.Equal(status, 503)
	is.True(strings.Contains(string(answer), `"code":4004`))
	is.True(strings.Contains(string(answer), `"execution":"not_run"`))

	s.platform.signal(syscall.SIGCONT)
	s.eventually("the claim is recorded again", func() bool {
		status, answer = s.do("POST", s.callers[2], "/services/booking/crews", `{"key":"chosen"}`, "chosen")
		return status == 200
	})
	is.True(strings.Contains(string(answer), `"runs":1`))
	status, again := s.do("POST", s.callers[0], "/services/booking/crews", `{"key":"chosen"}`, "chosen")
	is.Equal(status, 200)
	is.Equal(string(again), string(answer))
}
