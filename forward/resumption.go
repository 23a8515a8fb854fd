package forward

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/upstream"
	"bergamotcroft.example/bergamot/versions"
)

// StreamVersions decides at which software version of the upstreams a resumable stream begins and goes on. *versions.Keeper
// implements it.
type StreamVersions interface {
	// Begin returns the version at which a new stream begins, or "" for any. It may wait a moment for a plan.
	Begin(ctx context.Context, service string, stream versions.StreamID, deadline time.Duration) (string, *result.Error)
	// Continue returns the version at which a stream, versions.UnknownStream if the caller names none, has begun. It may wait a
	// moment for a plan, and refuses the stream if its version is not certain.
	Continue(ctx context.Context, service string, stream versions.StreamID, deadline time.Duration) (string, *result.Error)
	// Began records that a stream has begun. It does not block.
	Began(service string, stream versions.StreamID, version string)
	// Preview returns what Begin, or Continue with takesUp, would, without a wait. It changes nothing.
	Preview(service string, stream versions.StreamID, takesUp bool, deadline time.Duration) (string, *result.Error)
}

// takesUp reports whether the request takes up a stream that broke off.
func (x *exchange) takesUp() bool { return x.call.After != "" || x.call.Resumes != "" }

// firstAttempt returns the ID of the attempt that brought, or brings, the first event of the stream.
func (x *exchange) firstAttempt() string {
	if x.call.Resumes != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

// hasBoundVersion reports whether the request is a stream that runs at one version.
func (x *exchange) hasBoundVersion() bool {
	return x.route.Kind == routes.Stream && x.route.Resumable && x.f.opts.Versions != nil
}

// boundStream returns the stream whose version counts: UnknownStream for one that is taken up without naming its first attempt.
func (x *exchange) boundStream() versions.StreamID {
	if x.takesUp() && x.call.Resumes == "" {
		return versions.UnknownStream
	}
	return versions.NewStreamID(x.service, x.firstAttempt())
}

// bindVersion sets the version at which a resumable stream runs. A request that takes up a stream is refused if the version of
// its first events is not certain.
func (x *exchange) bindVersion(ctx context.Context) (err *result.Error) {
	if !x.hasBoundVersion() {
		return nil
	}
	x.stream = versions.NewStreamID(x.service, x.firstAttempt())
	if !x.takesUp() {
		x.plannedVersion, err = x.f.opts.Versions.Begin(ctx, x.service, x.stream, x.call.Remaining)
		return err
	}
	version, err := x.f.opts.Versions.Continue(ctx, x.service, x.boundStream(), x.call.Remaining)
	x.f.opts.Log.Info("stream taken up", x.requestField(), zap.String("resumes", clipped(x.call.Resumes)), zap.String("after", clipped(x.call.After)),
		zap.String("version", version), zap.Bool("certain", err == nil))
	if err != nil {
		return err
	}
	x.plannedVersion = version
	x.version.Store(&version)
	return nil
}

var errOtherVersion = errors.New("the upstream has another version than the stream's first events")

// checkVersion fails if the stream has begun at another version than the upstream's.
func (x *exchange) checkVersion(version string) error {
	if v := x.version.Load(); v != nil && *v != version {
		return &upstream.Failure{Outcome: policy.FailedBeforeSend, Code: result.NoUpstream, Cause: errOtherVersion}
	}
	return nil
}

// streamBegins records the version of a stream before its first event is relayed.
func (x *exchange) streamBegins(version string) {
	x.version.Store(&version)
	if x.stream != 0 {
		x.f.opts.Versions.Began(x.service, x.stream, version)
	}
}
