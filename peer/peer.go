// Package peer is the connect-go service between entry VMs: claims, issued keys, member tables, limit shares,
// configuration fetch and usage counts.
//
// Invariants: a call without a valid authentication code of the shared secret is refused before any handler runs;
// every call has a timeout; every message is bounded. The package is independent of the features that use it: the
// packages that handle a call register their function in Handlers.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/ingress"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/peer/peerv1/peerv1connect"
)

const (
	// maxMessageBytes bounds a request. It admits a table of 2,200 members.
	maxMessageBytes = 4 << 20
	// maxAnswerBytes admits a whole configuration, about 8 MB with 15,000 accounts and 10,000 upstreams.
	maxAnswerBytes = 16 << 20
	// maxSmallAnswerBytes bounds all other answers. The largest is a table of 2,200 members.
	maxSmallAnswerBytes = 1 << 20
)

// DefaultTimeout bounds a call. It is well above a round trip between regions and below the timeouts of callers.
const DefaultTimeout = 2 * time.Second

// Handlers are the functions that handle the calls of other entry VMs. A call whose handler is nil is refused as
// unimplemented. Set them before Run.
type Handlers struct {
	ExchangeTable    func(context.Context, *peerv1.ExchangeTableRequest) (*peerv1.ExchangeTableResponse, error)
	Claim            func(context.Context, *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	IssuedKey        func(context.Context, *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error)
	ExchangeShares   func(context.Context, *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error)
	GetConfiguration func(ctx context.Context, revision uint64) (got uint64, value []byte, err error)
	CollectUsage     func(context.Context, *peerv1.CollectUsageRequest) (*peerv1.CollectUsageResponse, error)
	HandOverUsage    func(context.Context, *peerv1.HandOverUsageRequest) (*peerv1.HandOverUsageResponse, error)
}

// Options configures a Server.
type Options struct {
	Listener net.Listener
	Secret   string      // shared by all entry VMs
	TLS      *tls.Config // nil: plain HTTP
	Handlers *Handlers
	Limits   *ingress.Guard // of what clients make the process hold; nil: none
}

// Server serves the calls of other entry VMs.
type Server struct {
	o    Options
	http *http.Server
}

// New returns a server. Handlers may be set until Run is called.
func New(o Options) (*Server, error) {
	if o.Secret == "" {
		return nil, trace.BadParameter("peer: the shared secret is empty")
	}
	if o.TLS != nil && o.Limits != nil {
		return nil, trace.BadParameter("peer: frames of HTTP/2 over TLS can't be counted")
	}
	if o.Handlers == nil {
		o.Handlers = &Handlers{}
	}
	s := &Server{o: o}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: DefaultTimeout,
		ReadTimeout:       10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    8 << 10,
		TLSConfig:         o.TLS,
		Protocols:         protocols(),
	}
	s.o.Listener = o.Limits.Protect(s.http, o.Listener, "peers", true)
	return s, nil
}

// protocols prefers HTTP/2, whose compressed headers keep small calls small.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Handler returns the HTTP handler, for use with another HTTP server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&service{s.o.Handlers}, connect.WithReadMaxBytes(maxMessageBytes)))
	return verify(s.o.Secret, mux)
}

// Run serves until ctx ends, then waits up to DefaultTimeout for running calls.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() {
		if s.o.TLS != nil {
			done <- s.http.ServeTLS(s.o.Listener, "", "")
			return
		}
		done <- s.http.Serve(s.o.Listener)
	}()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), DefaultTimeout)
	defer cancel()
	err := s.http.Shutdown(stop)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	<-done
	return trace.Wrap(err)
}

// service adapts Handlers to the generated interface.
type service struct{ h *Handlers }

// handleCall calls a handler, which may be nil, and converts its error to a connect code.
func handleCall[Req, Res any](ctx context.Context, f func(context.Context, *Req) (*Res, error), r *connect.Request[Req]) (*connect.Response[Res], error) {
	if f == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not served by this entry VM"))
	}
	res, err := f(ctx, r.Msg)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err) // the deadline that the client sent with the call
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(res), nil
}

func (s *service) ExchangeTable(ctx context.Context, r *connect.Request[peerv1.ExchangeTableRequest]) (*connect.Response[peerv1.ExchangeTableResponse], error) {
	return handleCall(ctx, s.h.ExchangeTable, r)
}

func (s *service) Claim(ctx context.Context, r *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	return handleCall(ctx, s.h.Claim, r)
}

func (s *service) IssuedKey(ctx context.Context, r *connect.Request[peerv1.IssuedKeyRequest]) (*connect.Response[peerv1.IssuedKeyResponse], error) {
	return handleCall(ctx, s.h.IssuedKey, r)
}

func (s *service) ExchangeShares(ctx context.Context, r *connect.Request[peerv1.ExchangeSharesRequest]) (*connect.Response[peerv1.ExchangeSharesResponse], error) {
	return handleCall(ctx, s.h.ExchangeShares, r)
}

func (s *service) GetConfiguration(ctx context.Context, r *connect.Request[peerv1.GetConfigurationRequest]) (*connect.Response[peerv1.GetConfigurationResponse], error) {
	var f func(context.Context, *peerv1.GetConfigurationRequest) (*peerv1.GetConfigurationResponse, error)
	if s.h.GetConfiguration != nil {
		f = func(ctx context.Context, q *peerv1.GetConfigurationRequest) (*peerv1.GetConfigurationResponse, error) {
			revision, value, err := s.h.GetConfiguration(ctx, q.GetRevision())
			return &peerv1.GetConfigurationResponse{Revision: revision, Value: value}, err
		}
	}
	return handleCall(ctx, f, r)
}

func (s *service) CollectUsage(ctx context.Context, r *connect.Request[peerv1.CollectUsageRequest]) (*connect.Response[peerv1.CollectUsageResponse], error) {
	return handleCall(ctx, s.h.CollectUsage, r)
}

func (s *service) HandOverUsage(ctx context.Context, r *connect.Request[peerv1.HandOverUsageRequest]) (*connect.Response[peerv1.HandOverUsageResponse], error) {
	return handleCall(ctx, s.h.HandOverUsage, r)
}
