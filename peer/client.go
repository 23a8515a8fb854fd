package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/peer/peerv1/peerv1connect"
)

// maxClients bounds the cached clients. A VM calls few peers at a time: shard owners, its limit groups and the random
// partner of a table exchange.
const maxClients = 256

// idleConnTimeout is below the time after which a follower gives up a watcher whose connection has gone silent, so that its call to the
// next watcher uses no connection from before the silence.
const idleConnTimeout = 2 * time.Second

// maxUnreadBytes bounds what a peer may send of an answer ahead of its reader. Of the default, 4 MB, all may arrive before a
// reader has given up an endless answer.
const maxUnreadBytes = 256 << 10

// ClientOptions configures a Client.
type ClientOptions struct {
	Secret  string
	Timeout time.Duration // 0: DefaultTimeout
	TLS     *tls.Config   // nil: plain HTTP
}

// Client calls other entry VMs by their peer address.
type Client struct {
	o       ClientOptions
	mu      sync.Mutex
	clients map[string]*addressClient
}

// addressClient calls the VM at one address over connections of its own.
type addressClient struct {
	peerv1connect.PeerServiceClient
	transport *http.Transport
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{o: o, clients: map[string]*addressClient{}}
}

func (c *Client) newAddressClient(address string) *addressClient {
	t := &http.Transport{
		TLSClientConfig:        c.o.TLS,
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: bounded.HeadBytes,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{MaxReceiveBufferPerStream: maxUnreadBytes},
	}
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(c.o.TLS == nil)
	scheme := "http://"
	if c.o.TLS != nil {
		scheme = "https://"
	}
	h := &http.Client{Transport: &signer{c.o.Secret, t}, Timeout: c.o.Timeout}
	return &addressClient{peerv1connect.NewPeerServiceClient(h, scheme+address, connect.WithReadMaxBytes(maxAnswerBytes)), t}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAll()
}

// closeAll drops all clients. Calls in flight end on their connections. The lock must be held.
func (c *Client) closeAll() {
	for _, p := range c.clients {
		p.transport.CloseIdleConnections()
	}
	clear(c.clients)
}

// clientFor returns the cached client of an address, or a new one.
func (c *Client) clientFor(address string) *addressClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.clients[address]; ok {
		return p
	}
	if len(c.clients) >= maxClients {
		c.closeAll()
	}
	p := c.newAddressClient(address)
	c.clients[address] = p
	return p
}

// dropClient makes the next call to an address use a new connection. A connection with a call that has timed out may have gone
// silent, and other calls can keep it from becoming idle.
func (c *Client) dropClient(address string, p *addressClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == p {
		delete(c.clients, address)
	}
	p.transport.CloseIdleConnections()
}

func call[Req, Res any](ctx context.Context, c *Client, address string, r *Req,
	f func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p := c.clientFor(address)
	res, err := f(p, ctx, connect.NewRequest(r))
	switch {
	case err == nil:
		return res.Msg, nil
	case !time.Now().Before(deadline) && !errors.Is(ctx.Err(), context.Canceled):
		c.dropClient(address, p)
		// The peer's deadline is the same. Of its answer, the status may arrive but not the body with the code. On a busy
		// machine the context ends some time after its deadline.
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return nil, err
	}
}

// ExchangeTable compares member tables with the VM at address.
func (c *Client) ExchangeTable(ctx context.Context, address string, r *peerv1.ExchangeTableRequest) (*peerv1.ExchangeTableResponse, error) {
	return call(ctx, c, address, r, peerv1connect.PeerServiceClient.ExchangeTable)
}

// Claim applies an operation on a caller key at the owner of its shard.
func (c *Client) Claim(ctx context.Context, address string, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return call(ctx, c, address, r, peerv1connect.PeerServiceClient.Claim)
}

// IssuedKey applies an operation on an issued key at the VM that issued it.
func (c *Client) IssuedKey(ctx context.Context, address string, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error) {
	return call(ctx, c, address, r, peerv1connect.PeerServiceClient.IssuedKey)
}

// ExchangeShares exchanges the demand of accounts with the VM at address.
func (c *Client) ExchangeShares(ctx context.Context, address string, r *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error) {
	return call(ctx, c, address, r, peerv1connect.PeerServiceClient.ExchangeShares)
}

// GetConfiguration fetches an encoded configuration; revision 0 asks for the highest.
func (c *Client) GetConfiguration(ctx context.Context, address string, revision uint64) (uint64, []byte, error) {
	res, err := call(ctx, c, address, &peerv1.GetConfigurationRequest{Revision: revision}, peerv1connect.PeerServiceClient.GetConfiguration)
	return res.GetRevision(), res.GetValue(), err
}

// CollectUsage asks the VM at address for its usage counts.
func (c *Client) CollectUsage(ctx context.Context, address string, r *peerv1.CollectUsageRequest) (*peerv1.CollectUsageResponse, error) {
	return call(ctx, c, address, r, peerv1connect.PeerServiceClient.CollectUsage)
}

// HandOverUsage gives usage counts to the VM at address.
func (c *Client) HandOverUsage(ctx context.Context, address string, r *peerv1.HandOverUsageRequest) error {
	_, err := call(ctx, c, address, r, peerv1connect.PeerServiceClient.HandOverUsage)
	return err
}
