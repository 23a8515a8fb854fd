package admin

import (
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/result"
)

var connectCodes = map[int]connect.Code{
	http.StatusBadRequest:         connect.CodeInvalidArgument,
	http.StatusUnauthorized:       connect.CodeUnauthenticated,
	http.StatusForbidden:          connect.CodePermissionDenied,
	http.StatusNotFound:           connect.CodeNotFound,
	http.StatusConflict:           connect.CodeFailedPrecondition,
	http.StatusServiceUnavailable: connect.CodeUnavailable,
	http.StatusGatewayTimeout:     connect.CodeDeadlineExceeded,
}

// toConnect converts an error to a connect error whose code follows from its result code. The result code is sent as a detail, its
// cause is not.
func toConnect(err error) error {
	e := result.From(err)
	info := e.Code.Info()
	code, ok := connectCodes[info.HTTP]
	if !ok {
		code = connect.CodeInternal
	}
	c := connect.NewError(code, errors.New(e.Message))
	detail, detailErr := connect.NewErrorDetail(&adminv1.ErrorDetail{
		Code: int32(e.Code), Name: info.Name, Message: e.Message, Execution: string(e.Execution), RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if detailErr == nil {
		c.AddDetail(detail)
	}
	return c
}

// FromConnect converts an error that a client of the API received back to a result.Error.
func FromConnect(err error) *result.Error {
	var c *connect.Error
	if !errors.As(err, &c) {
		return result.From(err)
	}
	for _, d := range c.Details() {
		if v, err := d.Value(); err == nil {
			if x, ok := v.(*adminv1.ErrorDetail); ok {
				return result.New(result.Code(x.Code), "%s", x.Message).WithExecution(result.Execution(x.Execution))
			}
		}
	}
	switch c.Code() {
	case connect.CodeInvalidArgument:
		return result.New(result.MalformedRequest, "%s", c.Message())
	case connect.CodeUnavailable:
		return result.New(result.UpstreamFailed, "the entry VM can't be reached: %s", c.Message())
	case connect.CodeResourceExhausted:
		return result.New(result.BodyTooLarge, "%s", c.Message())
	}
	return result.New(result.Internal, "%s", c.Message())
}

// strictJSON is a JSON codec that refuses unknown fields, which the codec of connect ignores.
type strictJSON struct{}

func (strictJSON) Name() string { return "json" }

func (strictJSON) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("%T is not a protobuf message", v)
	}
	return protojson.Marshal(m)
}

func (strictJSON) Unmarshal(b []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("%T is not a protobuf message", v)
	}
	if len(b) == 0 {
		return errors.New("empty body is not a JSON object")
	}
	return protojson.Unmarshal(b, m)
}

// strictBinary is a protobuf codec that refuses unknown fields. It checks only the top-level message, since requests have no nested
// ones.
type strictBinary struct{}

func (strictBinary) Name() string { return "proto" }

func (strictBinary) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("%T is not a protobuf message", v)
	}
	return proto.Marshal(m)
}

func (strictBinary) Unmarshal(b []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return fmt.Errorf("%T is not a protobuf message", v)
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return err
	}
	if u := m.ProtoReflect().GetUnknown(); len(u) > 0 {
		return fmt.Errorf("%d bytes of unknown fields in %s", len(u), m.ProtoReflect().Descriptor().Name())
	}
	return nil
}
