// Package admin implements the administration API over connect-go, with operators' keys and roles.
//
// Invariants: the body of a call without a known key is not read; a call whose operator has too low a role changes nothing; unknown
// fields are refused; each error carries a result code. The package keeps no state, so that every entry VM can serve the API.
package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/tailscale/hujson"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/admin/adminv1/adminv1connect"
	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/control"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// maxRequestBytes bounds a request. A configuration with 15,000 accounts takes about 8 MB.
const maxRequestBytes = 32 << 20

// Role is an operator's set of permissions. Each role includes those before it in the list below.
type Role string

// The roles of operators.
const (
	RoleViewer   Role = "viewer"   // read
	RolePlanner  Role = "planner"  // make plans
	RoleOperator Role = "operator" // confirm and cancel plans
	RoleAdmin    Role = "admin"    // replace the configuration
)

var rolesAscending = []Role{RoleViewer, RolePlanner, RoleOperator, RoleAdmin}

// requiredRoles maps a procedure to the lowest role that may call it. A procedure that is not listed requires RoleAdmin.
var requiredRoles = map[string]Role{
	adminv1connect.AdminServiceListProcedure:          RoleViewer,
	adminv1connect.AdminServiceWatchProcedure:         RoleViewer,
	adminv1connect.AdminServiceConfigHistoryProcedure: RoleViewer,
	adminv1connect.AdminServicePlanProcedure:          RolePlanner,
	adminv1connect.AdminServiceDrainProcedure:         RolePlanner,
	adminv1connect.AdminServiceReplaceProcedure:       RolePlanner,
	adminv1connect.AdminServiceWithdrawProcedure:      RolePlanner,
	adminv1connect.AdminServiceConfirmProcedure:       RoleOperator,
	adminv1connect.AdminServiceCancelProcedure:        RoleOperator,
	adminv1connect.AdminServiceApplyConfigProcedure:   RoleAdmin,
}

// Operator is a person or program that may use the API.
type Operator struct {
	Name   string
	KeySHA string // SHA-256 of the key in lower-case hex
	Role   Role
}

// History lists accepted configuration revisions; *configuration.Node implements it.
type History interface {
	History(ctx context.Context) ([]configuration.Entry, error)
}

// Options configures a Service. All fields but Wake, Reports and Logger are required.
type Options struct {
	Operators []Operator
	Plans     *control.Plans
	Store     store.Store
	Source    configuration.Source
	History   History
	List      membership.List
	Reports   control.Reports // for the load in lists; nil: lists have no load
	Wake      func()          // wakes the controllers after a plan was confirmed or cancelled
	Logger    *zap.Logger
}

// Service implements the API.
type Service struct {
	opt       Options
	operators map[string]Operator // by hash of the key
}

var _ adminv1connect.AdminServiceHandler = (*Service)(nil)

// New returns a Service.
func New(o Options) *Service {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Wake == nil {
		o.Wake = func() {}
	}
	s := &Service{opt: o, operators: make(map[string]Operator, len(o.Operators))}
	for _, op := range o.Operators {
		s.operators[strings.ToLower(op.KeySHA)] = op
	}
	return s
}

// Handler returns the API's path prefix and handler.
func (s *Service) Handler() (string, http.Handler) {
	path, h := adminv1connect.NewAdminServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCodec(strictJSON{}), connect.WithCodec(strictBinary{}))
	return path, s.authenticate(h)
}

type operatorKey struct{}

func operatorOf(ctx context.Context) Operator {
	op, _ := ctx.Value(operatorKey{}).(Operator)
	return op
}

// authenticate refuses calls without a known key or with too low a role, before their body is read.
func (s *Service) authenticate(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		op, err := s.authorize(r)
		if err != nil {
			s.opt.Logger.Info("administration call refused", zap.String("call", r.URL.Path), zap.String("operator", op.Name), zap.Error(err))
			if writer.IsSupported(r) {
				_ = writer.Write(w, r, toConnect(err)) // a failed write means that the client has gone
				return
			}
			http.Error(w, err.Error(), result.CodeOf(err).Info().HTTP)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, op)))
	})
}

func (s *Service) authorize(r *http.Request) (Operator, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return Operator{}, result.New(result.Unauthenticated, "the operator's key is missing; send it as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	op, ok := s.operators[hex.EncodeToString(sum[:])]
	if !ok {
		return Operator{}, result.New(result.Unauthenticated, "the operator's key is not known")
	}
	need, ok := requiredRoles[r.URL.Path]
	if !ok {
		need = RoleAdmin
	}
	if slices.Index(rolesAscending, op.Role) < slices.Index(rolesAscending, need) {
		return op, result.New(result.OperatorForbidden, "%s has the role %s; this call needs %s", op.Name, op.Role, need)
	}
	return op, nil
}

// Plan implements the API.
func (s *Service) Plan(ctx context.Context, r *connect.Request[adminv1.PlanRequest]) (*connect.Response[adminv1.PlanResponse], error) {
	in, err := decode[topo.Intent](r.Msg.Intent, result.IntentInvalid)
	if err != nil {
		return nil, toConnect(err)
	}
	return s.propose(ctx, in)
}

// Drain implements the API.
func (s *Service) Drain(ctx context.Context, r *connect.Request[adminv1.UpstreamRequest]) (*connect.Response[adminv1.PlanResponse], error) {
	return s.proposeChange(ctx, topo.ActionDrain, r.Msg)
}

// Replace implements the API.
func (s *Service) Replace(ctx context.Context, r *connect.Request[adminv1.UpstreamRequest]) (*connect.Response[adminv1.PlanResponse], error) {
	return s.proposeChange(ctx, topo.ActionReplace, r.Msg)
}

// Withdraw implements the API.
func (s *Service) Withdraw(ctx context.Context, r *connect.Request[adminv1.UpstreamRequest]) (*connect.Response[adminv1.PlanResponse], error) {
	return s.proposeChange(ctx, topo.ActionWithdraw, r.Msg)
}

func (s *Service) proposeChange(ctx context.Context, a topo.IntentAction, m *adminv1.UpstreamRequest) (*connect.Response[adminv1.PlanResponse], error) {
	in := topo.Intent{Name: m.Name, Action: a, Upstream: m.Upstream, With: m.With}
	if in.Name == "" {
		in.Name = string(a) + "-" + m.Upstream
	}
	return s.propose(ctx, in)
}

func (s *Service) propose(ctx context.Context, in topo.Intent) (*connect.Response[adminv1.PlanResponse], error) {
	in.Operator = operatorOf(ctx).Name
	return planResponse(s.opt.Plans.Propose(ctx, in))
}

// Confirm implements the API.
func (s *Service) Confirm(ctx context.Context, r *connect.Request[adminv1.PlanName]) (*connect.Response[adminv1.PlanResponse], error) {
	defer s.opt.Wake()
	return planResponse(s.opt.Plans.Confirm(ctx, r.Msg.Name, operatorOf(ctx).Name))
}

// Cancel implements the API.
func (s *Service) Cancel(ctx context.Context, r *connect.Request[adminv1.PlanName]) (*connect.Response[adminv1.PlanResponse], error) {
	defer s.opt.Wake()
	return planResponse(s.opt.Plans.Cancel(ctx, r.Msg.Name, operatorOf(ctx).Name))
}

func planResponse(p topo.Plan, err error) (*connect.Response[adminv1.PlanResponse], error) {
	if err != nil {
		return nil, toConnect(err)
	}
	b, err := topo.Encode(p)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&adminv1.PlanResponse{Plan: b}), nil
}

// ApplyConfig implements the API.
func (s *Service) ApplyConfig(ctx context.Context, r *connect.Request[adminv1.ApplyConfigRequest]) (*connect.Response[adminv1.ApplyConfigResponse], error) {
	c, err := decode[topo.Configuration](r.Msg.Configuration, result.ConfigurationInvalid)
	if err != nil {
		return nil, toConnect(err)
	}
	revision, err := s.opt.Plans.Apply(ctx, operatorOf(ctx).Name, c)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&adminv1.ApplyConfigResponse{Revision: revision}), nil
}

// ConfigHistory implements the API.
func (s *Service) ConfigHistory(ctx context.Context, r *connect.Request[adminv1.ConfigHistoryRequest]) (*connect.Response[adminv1.ConfigHistoryResponse], error) {
	entries, err := s.opt.History.History(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	out := &adminv1.ConfigHistoryResponse{}
	for i, e := range entries {
		if r.Msg.Limit > 0 && i >= int(r.Msg.Limit) {
			break
		}
		out.Revisions = append(out.Revisions, &adminv1.Revision{
			Revision: e.Revision, Author: e.Author, Accepted: e.Accepted.UTC().Format("2006-01-02T15:04:05.000Z07:00"),
		})
	}
	return connect.NewResponse(out), nil
}

// decode parses an operator's file: JSON with comments. Unknown fields are an error.
func decode[T any](b []byte, code result.Code) (T, error) {
	var zero T
	std, err := hujson.Standardize(slices.Clone(b))
	if err != nil {
		return zero, result.New(code, "not JSON with comments: %v", err)
	}
	v, err := topo.Decode[T](std)
	if err != nil {
		return zero, result.New(code, "%v", err)
	}
	return v, nil
}
