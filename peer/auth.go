package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"bergamotcroft.example/bergamot/ingress"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/peer/peerv1/peerv1connect"
)

// macHeader carries the authentication code of a request, so that the secret itself never crosses the network.
const macHeader = "Bergamot-Peer-Mac"

// macBytes is the length of the code: 128 bits can't be guessed, and small calls stay small.
const macBytes = 16

func mac(secret, path string, body []byte) string {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}

// signer adds the authentication code to requests.
type signer struct {
	secret string
	next   http.RoundTripper
}

func (s *signer) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		if err = r.Body.Close(); err != nil {
			return nil, err
		}
	}
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.Header.Set(macHeader, mac(s.secret, r.URL.Path, body))
	resp, err := s.next.RoundTrip(r)
	if err == nil {
		// connect reads the rest of an answer that is above its own bound and discards it; this bound ends the read.
		limit := int64(maxSmallAnswerBytes)
		if r.URL.Path == peerv1connect.PeerServiceGetConfigurationProcedure {
			limit = maxAnswerBytes
		}
		resp.Body = bounded.Body(resp.Body, "answer of a peer", limit)
	}
	return resp, err
}

// verify refuses requests without a valid authentication code.
func verify(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, "unreadable or oversized message", http.StatusBadRequest)
			return
		}
		if !hmac.Equal([]byte(r.Header.Get(macHeader)), []byte(mac(secret, r.URL.Path, body))) {
			http.Error(w, "wrong message authentication code", http.StatusUnauthorized)
			return
		}
		ingress.Verified(r.Context())
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
