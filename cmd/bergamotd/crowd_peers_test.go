package main

import (
	"bytes"
	"io"
	"net"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"bergamotcroft.example/bergamot/peer/peerv1/peerv1connect"
)

// crowdMessageBytes is the largest message that the peers' listener takes, without its last byte.
const crowdMessageBytes = 4<<20 - 1

// frames writes frames of HTTP/2 on a connection.
type frames struct {
	*http2.Framer
	text    bytes.Buffer
	encoder *hpack.Encoder
}

// startHTTP2 begins a connection of HTTP/2 that raises no window.
func startHTTP2(c net.Conn) *frames {
	f := &frames{Framer: http2.NewFramer(c, c)}
	f.encoder = hpack.NewEncoder(&f.text)
	_, _ = io.WriteString(c, http2.ClientPreface) // an error shows with the next frame
	_ = f.WriteSettings()
	return f
}

// block returns a header block with n fields that are repeated by index, so that few bytes stand for many.
func (f *frames) block(method string, fields int) []byte {
	f.text.Reset()
	for _, h := range [][2]string{{":method", method}, {":scheme", "http"}, {":authority", "h"}, {":path", peerv1connect.PeerServiceExchangeTableProcedure}} {
		_ = f.encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}) // a bytes.Buffer does not fail
	}
	for range fields {
		_ = f.encoder.WriteField(hpack.HeaderField{Name: "a", Value: ""})
	}
	return f.text.Bytes()
}

func (f *frames) open(stream uint32, fields int, ended bool) error {
	return f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: f.block("POST", fields), EndHeaders: true, EndStream: ended})
}

// fill sends parts of bodies on the streams opened so far, within the windows that the VM grants.
func (f *frames) fill(c net.Conn, streams uint32) {
	window := map[uint32]int64{0: 65535}
	initial := int64(65535)
	part := make([]byte, 16<<10)
	sent := map[uint32]int64{}
	for {
		for n := uint32(1); n < 2*streams; n += 2 {
			for size := int64(len(part)); sent[n]+size <= crowdMessageBytes && window[0] >= size && initial+window[n] >= size; {
				if f.WriteData(n, false, part) != nil {
					return
				}
				sent[n] += size
				window[0] -= size
				window[n] -= size
			}
		}
		frame, err := f.ReadFrame() // ends with the connection or its deadline
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.WindowUpdateFrame:
			window[frame.StreamID] += int64(frame.Increment)
		case *http2.SettingsFrame:
			if v, ok := frame.Value(http2.SettingInitialWindowSize); ok {
				initial = int64(v)
			}
		case *http2.RSTStreamFrame:
			sent[frame.StreamID] = crowdMessageBytes
		}
	}
}

// peerWays are what each client of a crowd that has no secret does at the peers' listener.
var peerWays = []crowdWay{
	{"messages that end before their last byte", []int{9002}, crowdClients, func(c net.Conn) {
		sendAll(c, "POST "+peerv1connect.PeerServiceExchangeTableProcedure+" HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+strings.Repeat("x", crowdMessageBytes), 1)
	}, false},
	{"HTTP2 streams with long bodies", []int{9002}, crowdClients, func(c net.Conn) {
		f := startHTTP2(c)
		const streams = 100
		for n := uint32(1); n < 2*streams; n += 2 {
			if f.open(n, 0, false) != nil {
				return
			}
		}
		f.fill(c, streams)
	}, false},
	{"HTTP2 streams with many fields", []int{9002}, crowdClients, func(c net.Conn) {
		f := startHTTP2(c)
		for n := uint32(1); n < 2000; n += 2 { // a field counts as its size and 32 bytes
			if f.open(n, 220, false) != nil {
				return
			}
		}
	}, false},
	{"HTTP2 frames of the largest size", []int{9002}, crowdClients, func(c net.Conn) {
		f := startHTTP2(c)
		if f.open(1, 0, false) != nil {
			return
		}
		_, _ = c.Write([]byte{0x0f, 0xff, 0xff, 0, 0, 0, 0, 0, 1}) // the head of a frame of 1 MB, which never ends
		_, _ = c.Write(make([]byte, 1<<20-2))
	}, false},
	{"HTTP2 header block without end", []int{9002}, crowdClients, func(c net.Conn) {
		f := startHTTP2(c)
		err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: f.block("POST", 10)})
		for range 1000 {
			if err != nil {
				return
			}
			f.text.Reset()
			for range 4000 {
				_ = f.encoder.WriteField(hpack.HeaderField{Name: "a", Value: ""})
			}
			err = f.WriteContinuation(1, false, f.text.Bytes())
		}
	}, false},
	{"HTTP2 streams that are reset", []int{9002}, crowdClients, func(c net.Conn) {
		f := startHTTP2(c)
		for n := uint32(1); n < 20000; n += 2 {
			if f.open(n, 0, true) != nil || f.WriteRSTStream(n, http2.ErrCodeCancel) != nil {
				return
			}
		}
	}, false},
	{"HTTP2 answers that are not read", []int{9002}, crowdClients, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 10)
		f := startHTTP2(c)
		for n := uint32(1); n < 40000; n += 2 {
			if f.WritePing(false, [8]byte{}) != nil || f.open(n, 0, true) != nil {
				return
			}
		}
	}, true},
	{"HTTP2 connections that stay open", []int{9002}, crowdOpenConns, func(c net.Conn) { startHTTP2(c) }, false},
}
