package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// Transport sends and receives datagrams.
type Transport interface {
	// Send sends without waiting for delivery. It returns no error, since datagrams may be lost anyway.
	Send(address string, datagram []byte)
	// Receive waits for a datagram, writes it to buffer and returns its size and sender, or ErrTransportClosed.
	Receive(buffer []byte) (n int, from string, err error)
	Close() error
}

// ErrTransportClosed is returned by Receive after Close.
var ErrTransportClosed = errors.New("membership: transport closed")

// UDP is the Transport of the daemon.
type UDP struct{ conn *net.UDPConn }

// ListenUDP opens a UDP socket.
func ListenUDP(address string) (*UDP, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &UDP{c}, nil
}

// Address returns the local address.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send implements Transport.
func (u *UDP) Send(address string, datagram []byte) {
	// Members are addressed by IP number. The lookup of a name would block while the table is locked.
	if a, err := netip.ParseAddrPort(address); err == nil {
		_, _ = u.conn.WriteToUDPAddrPort(datagram, a)
	}
}

// Receive implements Transport.
func (u *UDP) Receive(buffer []byte) (int, string, error) {
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return 0, "", ErrTransportClosed
		}
		if err == nil {
			return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), nil
		}
	}
}

// Close implements Transport.
func (u *UDP) Close() error { return trace.Wrap(u.conn.Close()) }

// macBytes is the length of the truncated HMAC-SHA256 before each datagram. Eight bytes can't be guessed at the rate
// at which a VM receives.
const macBytes = 8

// Seal returns the payload with an authentication code before it.
func Seal(secret string, payload []byte) []byte {
	return append(datagramMAC(secret, payload), payload...)
}

// Open checks the authentication code of a datagram and returns its payload.
func Open(secret string, datagram []byte) ([]byte, bool) {
	if len(datagram) < macBytes {
		return nil, false
	}
	payload := datagram[macBytes:]
	return payload, hmac.Equal(datagram[:macBytes], datagramMAC(secret, payload))
}

func datagramMAC(secret string, payload []byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
