package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"bergamotcroft.example/bergamot/ingress"
)

// listener is an HTTP server on one address.
type listener struct {
	guarded     bool // by a Guard, which carries out TLS
	socket      net.Listener
	server      *http.Server
	certificate *certificate
	log         *zap.Logger
}

// newListener listens on an address. With a Guard, which protect sets later, the number of connections is the Guard's to limit.
func newListener(address string, connections int, h http.Handler, log *zap.Logger, g *ingress.Guard) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	errorLog, err := zap.NewStdLogAt(log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if g == nil {
		l = netutil.LimitListener(l, connections)
	}
	return &listener{
		socket: l, log: log,
		server: &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: errorLog},
	}, nil
}

const (
	defaultHeaderTimeout = 5 * time.Second
	// closeTimeout bounds the wait for answers that are being written when a listener closes. The gateway has drained by
	// then, so only idle connections remain.
	closeTimeout = 5 * time.Second
)

func (l *listener) address() string { return l.socket.Addr().String() }

// protect makes a Guard, which may be nil, count what clients hold. The server must have its handler and its certificate.
func (l *listener) protect(g *ingress.Guard, name string) {
	if l != nil && g != nil {
		l.socket, l.guarded = g.Protect(l.server, l.socket, name, false), true
	}
}

func (l *listener) useTLS(certFile, keyFile string) error {
	c := &certificate{certFile: certFile, keyFile: keyFile, log: l.log}
	if err := c.reload(); err != nil {
		return err
	}
	l.certificate = c
	l.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
	return nil
}

func (l *listener) serve() error {
	var err error
	if l.certificate != nil && !l.guarded {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

func (l *listener) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
	}
}

// certificate is a key pair that is reloaded when its files change. Open connections keep the pair they were established with.
type certificate struct {
	certFile, keyFile string
	log               *zap.Logger
	current           atomic.Pointer[tls.Certificate]
	certPEM, keyPEM   []byte
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}

// reload reads the files. If the certificate and the key do not match, as in the middle of a change, the old pair stays in use.
func (c *certificate) reload() error {
	certPEM, err := os.ReadFile(c.certFile)
	if err != nil {
		return trace.Wrap(err)
	}
	keyPEM, err := os.ReadFile(c.keyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	if bytes.Equal(certPEM, c.certPEM) && bytes.Equal(keyPEM, c.keyPEM) {
		return nil
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return trace.Wrap(err)
	}
	c.certPEM, c.keyPEM = certPEM, keyPEM
	c.current.Store(&pair)
	c.log.Info("certificate loaded", zap.String("file", c.certFile))
	return nil
}

func (c *certificate) watch(ctx context.Context, every time.Duration) error {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := c.reload(); err != nil {
				c.log.Warn("certificate not reloaded", zap.Error(err))
			}
		}
	}
}
