package silence

import (
	"net"
	"net/netip"
	"syscall"
)

// DropConnects drops the connection requests to an address, as a link that loses packets does, until stop is called. The address refuses
// them from then on. Port 0 stands for any free port; the address in use is returned.
func DropConnects(address string) (used string, stop func(), err error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	closeSocket := func() { _ = syscall.Close(fd) }
	if used, err = listenWithFullQueue(fd, a); err != nil {
		closeSocket()
		return "", nil, err
	}
	queued, err := net.Dial("tcp4", used)
	if err != nil {
		closeSocket()
		return "", nil, err
	}
	return used, func() {
		closeSocket()
		_ = queued.Close()
	}, nil
}

// listenWithFullQueue listens at an address with room for one connection that nobody accepts.
func listenWithFullQueue(fd int, a netip.AddrPort) (used string, err error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: a.Addr().As4(), Port: int(a.Port())}); err != nil {
		return "", err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(a.Addr(), uint16(name.(*syscall.SockaddrInet4).Port)).String(), nil
}
