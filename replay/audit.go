package replay

import (
	"time"

	"bergamotcroft.example/bergamot/result"
)

// record is the audit record of one request: what upstreams ran and what the caller received. It does not depend on
// what the scheduler reports.
type record struct {
	line        *Line
	id          uint64
	submissions []*submission

	// Recorded by upstreams.
	starts       int // executions that began
	completes    int // executions that completed
	crashes      int // upstreams that the request crashed
	cachedTokens int // prompt tokens of the shared prefix that were in the cache, for the execution that answered

	// Recorded by the caller's side.
	firstAt   time.Duration
	endAt     time.Duration
	delivered int // output tokens that reached the caller
	final     finalKind
	code      result.Code
	execution result.Execution
	queueTime time.Duration // time in the queue of the entry VM, for the last submission
}

// submission is one attempt of a caller to send a request.
type submission struct {
	rec    *record
	starts int  // executions that began for this submission
	notRun bool // refused as not_run
}

type finalKind int

const (
	finalNone finalKind = iota
	finalComplete
	finalRefused
)

// completeOnTime reports whether the answer was complete and met the deadline.
func (r *record) completeOnTime() bool {
	return r.complete() && r.endAt <= r.line.At()+ms(r.line.DeadlineMS)
}

// complete reports whether the caller received an answer marked as complete that an upstream completed and that has
// all its tokens.
func (r *record) complete() bool {
	return r.final == finalComplete && r.completes > 0 && (r.line.Service != "" || r.delivered == r.line.OutputTokens)
}

// violations counts the requests for which a guarantee was broken.
type violations struct{ lost, doubled, cut, falseNotRun int }

// audit counts violations in the records. A request is lost when its caller gets no final answer, or gets an answer
// marked as complete that no upstream completed; doubled when it is not idempotent and began more than once; cut when
// an answer marked as complete lacks tokens, or when an answer that had begun ended in an error, unless the request
// itself crashes upstreams; falsely not_run when it was refused as not_run although an upstream began it for that
// submission.
func audit(records []*record) violations {
	var f violations
	for _, r := range records {
		if r.final == finalNone || r.final == finalComplete && r.completes == 0 {
			f.lost++
		}
		if !r.line.Idempotent && r.starts > 1 {
			f.doubled++
		}
		if r.line.Service == "" && cutShort(r) {
			f.cut++
		}
		for _, o := range r.submissions {
			if o.notRun && o.starts > 0 {
				f.falseNotRun++
			}
		}
	}
	return f
}

func cutShort(r *record) bool {
	switch r.final {
	case finalComplete:
		return r.delivered != r.line.OutputTokens
	case finalRefused:
		return r.delivered > 0 && !r.line.CrashesUpstream
	}
	return false
}
