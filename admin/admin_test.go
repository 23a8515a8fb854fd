package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/admin/adminv1/adminv1connect"
)

// unreadable is a body that fails the test when it is read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body of a refused call was read")
	return 0, errors.New("unexpected")
}

// A call without a known key must be refused before its body is read, so that it costs little. An unknown field must be refused in
// both encodings, so that a misspelt field is not silently ignored.
func TestRefusedBeforeAnythingRuns(t *testing.T) {
	sum := sha256.Sum256([]byte("k"))
	_, h := New(Options{Operators: []Operator{{Name: "eva", KeySHA: hex.EncodeToString(sum[:]), Role: RoleAdmin}}}).Handler()
	known, err := proto.Marshal(&adminv1.PlanName{Name: "p1"})
	if err != nil {
		t.Fatal(err)
	}
	unknown := protowire.AppendString(protowire.AppendTag(known, 99, protowire.BytesType), "x")
	for _, c := range []struct {
		key, kind, body, want string
		status                int
	}{
		{"", "json", "", "1001", http.StatusUnauthorized},
		{"wrong", "json", "", "not known", http.StatusUnauthorized},
		{"k", "json", `{"name":"p1","nmae":"p2"}`, "nmae", http.StatusBadRequest},
		{"k", "proto", string(unknown), "unknown fields", http.StatusBadRequest},
	} {
		r := httptest.NewRequest(http.MethodPost, adminv1connect.AdminServiceConfirmProcedure, strings.NewReader(c.body))
		if c.body == "" {
			r = httptest.NewRequest(http.MethodPost, adminv1connect.AdminServiceConfirmProcedure, unreadable{t})
		}
		r.Header.Set("Content-Type", "application/"+c.kind)
		r.Header.Set("Authorization", "Bearer "+c.key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) && c.want != "1001" {
			t.Errorf("%+v: status %d, %s", c, w.Code, w.Body)
		}
	}
}
