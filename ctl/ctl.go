// Package ctl implements the operators' command line bergamotctl.
//
// Invariants: only a plan that the operator names is confirmed; each failure prints a result code on standard error and gives a
// non-zero exit status.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	"bergamotcroft.example/bergamot/admin"
	"bergamotcroft.example/bergamot/admin/adminv1"
	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Exit statuses. Usage errors exit with 2 from the flag parser.
const (
	exitOK     = 0
	exitFailed = 1
)

const (
	watchAttempts = 4                      // per server, without a message received in between
	watchPause    = 250 * time.Millisecond // before the watch is retried at the next server
)

// callTimeout bounds each API call except Watch.
const callTimeout = 30 * time.Second

// Streams are the standard streams and the environment of a command line.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	Env      func(string) string
}

// OSStreams returns the streams of the process.
func OSStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Getenv}
}

// flags holds the flags and arguments of all commands.
type flags struct {
	server, key, settings, output string
	file, name, with, kind        string
	limit                         int
	wait                          bool
	logs                          []string
	// Of queries to an entry VM's metrics listener.
	address, method, path, body, account string
	headers                              []string
}

// command is a subcommand and the function that runs it.
type command struct {
	sub   *flaggy.Subcommand
	run   func(*session, context.Context) error
	local bool // runs without a server
}

// Run executes a command line (args without the program's name) and returns the exit status.
func Run(ctx context.Context, args []string, st Streams) int {
	f := &flags{}
	p, commands := newParser(f)
	if err := p.ParseArgs(args); err != nil {
		return report(st.Err, result.New(result.MalformedRequest, "%v", err))
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		s, err := &session{Streams: st, flags: f}, error(nil)
		if !c.local {
			s, err = newSession(f, st)
		}
		if err == nil {
			err = c.run(s, ctx)
		}
		if err != nil {
			return report(st.Err, err)
		}
		return exitOK
	}
	p.ShowHelp()
	return report(st.Err, result.New(result.MalformedRequest, "a command is missing"))
}

// report prints an error, with its result code unless it is an interruption, and returns the exit status.
func report(w io.Writer, err error) int {
	if i := (interrupted{}); errors.As(err, &i) {
		_, _ = fmt.Fprintln(w, i)
		return exitFailed
	}
	e := admin.FromConnect(err)
	text := e.Message
	if e.Code == result.Internal && e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	_, _ = fmt.Fprintf(w, "error: %s (code %d %s)\n", text, e.Code, e.Code.Info().Name)
	return exitFailed
}

func newParser(f *flags) (*flaggy.Parser, []command) {
	p := flaggy.NewParser("bergamotctl")
	p.Description = "Plans, confirms and watches changes of a bergamotcroft fleet."
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&f.server, "s", "server", "Administration address of an entry VM, or several with commas (env BERGAMOT_SERVER)")
	p.String(&f.key, "k", "key", "Operator's key (env BERGAMOT_KEY)")
	p.String(&f.settings, "", "settings", "JSON-with-comments file with server, key, key_file and ca (env BERGAMOT_SETTINGS)")
	p.String(&f.output, "o", "output", "table or json")
	var commands []command
	add := func(parent interface {
		AttachSubcommand(*flaggy.Subcommand, int)
	}, name, description string, run func(*session, context.Context) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		parent.AttachSubcommand(sub, 1)
		if run != nil {
			commands = append(commands, command{sub: sub, run: run})
		}
		return sub
	}
	add(p, "plan", "Compute a plan from an intent. Nothing changes.", (*session).plan).
		String(&f.file, "f", "file", "File with the intent (JSON with comments), - for standard input")
	for _, c := range []struct {
		name, description string
		run               func(*session, context.Context) error
	}{
		{"confirm", "Let a plan run.", (*session).confirm},
		{"cancel", "Stop a plan after the step that is running.", (*session).cancel},
	} {
		sub := add(p, c.name, c.description, c.run)
		sub.AddPositionalValue(&f.name, "PLAN", 1, true, "Name of the plan")
		sub.Bool(&f.wait, "w", "wait", "Show progress until the plan has ended")
	}
	add(p, "get", "List intents, plans, upstreams, vms, config or orders.", (*session).get).
		AddPositionalValue(&f.kind, "KIND", 1, true, "intents, plans, upstreams, vms, config or orders")
	add(p, "watch", "Show plans and their progress as they change.", (*session).watch).
		AddPositionalValue(&f.name, "PLAN", 1, false, "Name of the plan; all when left out")
	for _, a := range []topo.IntentAction{topo.ActionDrain, topo.ActionReplace, topo.ActionWithdraw} {
		sub := add(p, string(a), "Compute a plan to "+string(a)+" an upstream. Nothing changes.",
			func(s *session, ctx context.Context) error { return s.planChange(ctx, a) })
		sub.AddPositionalValue(&f.name, "UPSTREAM", 1, true, "Name of the upstream")
		if a == topo.ActionReplace {
			sub.String(&f.with, "", "with", "Upstream that takes over")
		}
	}
	config := add(p, "config", "Apply a configuration or list the accepted revisions.", nil)
	add(config, "apply", "Make a configuration the next revision.", (*session).applyConfig).
		String(&f.file, "f", "file", "File with the configuration (JSON with comments), - for standard input")
	add(config, "history", "List accepted revisions.", (*session).configHistory).
		Int(&f.limit, "n", "limit", "Number of revisions; all that are kept when left out")
	explainCommand := flaggy.NewSubcommand("explain")
	explainCommand.Description = "Show the events of one request from the logs of entry VMs."
	explainCommand.AddPositionalValue(&f.name, "ID", 1, true, "Identifier of the request")
	explainCommand.StringSlice(&f.logs, "l", "log", "Log file; may be given several times; standard input when left out")
	p.AttachSubcommand(explainCommand, 1)
	commands = append(commands, command{sub: explainCommand, run: (*session).explain, local: true})
	return p, append(commands, newQueryCommands(p, f)...)
}

// newQueryCommands adds the commands that ask one entry VM what it would do now.
func newQueryCommands(p *flaggy.Parser, f *flags) []command {
	route := flaggy.NewSubcommand("route")
	route.Description = "Show where a request would go now, and why. Nothing is sent."
	route.AddPositionalValue(&f.method, "METHOD", 1, true, "Method of the request")
	route.AddPositionalValue(&f.path, "PATH", 2, true, "Path of the request, with its query")
	route.String(&f.address, "", "address", "Address of an entry VM's metrics")
	route.String(&f.body, "", "body", "File with the body, - for standard input")
	route.StringSlice(&f.headers, "", "header", `Header "Name: value"; may be given several times`)
	route.String(&f.account, "", "account", "Name of the caller's account")
	p.AttachSubcommand(route, 1)
	duties := flaggy.NewSubcommand("duties")
	duties.Description = "Show who performs the jobs that one entry VM at a time does, and what it would order now."
	duties.String(&f.address, "", "address", "Address of an entry VM's metrics")
	p.AttachSubcommand(duties, 1)
	return []command{{sub: route, run: (*session).route, local: true}, {sub: duties, run: (*session).duties, local: true}}
}

// explain prints the events that the logs hold for one request.
func (s *session) explain(context.Context) error {
	if len(s.flags.logs) == 0 {
		return explain.Request(s.Out, s.flags.name, s.In)
	}
	var readers []io.Reader
	for _, name := range s.flags.logs {
		f, err := os.Open(name)
		if err != nil {
			return result.New(result.MalformedRequest, "log file: %v", err)
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return explain.Request(s.Out, s.flags.name, readers...)
}

func (s *session) plan(ctx context.Context) error {
	b, err := s.readInput(s.flags.file)
	if err != nil {
		return err
	}
	return s.printProposed(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Plan(ctx, connect.NewRequest(&adminv1.PlanRequest{Intent: b}))
	})
}

func (s *session) planChange(ctx context.Context, a topo.IntentAction) error {
	return s.printProposed(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		r := connect.NewRequest(&adminv1.UpstreamRequest{Upstream: s.flags.name, With: s.flags.with})
		switch a {
		case topo.ActionDrain:
			return c.Drain(ctx, r)
		case topo.ActionReplace:
			return c.Replace(ctx, r)
		}
		return c.Withdraw(ctx, r)
	})
}

// printProposed calls a method that makes a plan and prints the plan and the command that confirms it.
func (s *session) printProposed(ctx context.Context, f func(context.Context, client) (*connect.Response[adminv1.PlanResponse], error)) error {
	r, err := call(ctx, s, f)
	if err != nil {
		return err
	}
	p, err := topo.Decode[topo.Plan](r.Msg.Plan)
	if err != nil || s.jsonOutput() {
		return errors.Join(err, s.printJSON(r.Msg.Plan))
	}
	s.printPlan(&p)
	s.printf("\nNothing has changed. To run the plan: bergamotctl confirm %s --wait\n", p.Name)
	return nil
}

func (s *session) confirm(ctx context.Context) error {
	return s.printDecided(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Confirm(ctx, connect.NewRequest(&adminv1.PlanName{Name: s.flags.name}))
	})
}

func (s *session) cancel(ctx context.Context) error {
	return s.printDecided(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Cancel(ctx, connect.NewRequest(&adminv1.PlanName{Name: s.flags.name}))
	})
}

// printDecided calls a method that confirms or cancels a plan, then prints the plan's state, or watches the plan with --wait.
func (s *session) printDecided(ctx context.Context, f func(context.Context, client) (*connect.Response[adminv1.PlanResponse], error)) error {
	r, err := call(ctx, s, f)
	if err != nil {
		return err
	}
	if s.flags.wait {
		return s.watch(ctx)
	}
	p, err := topo.Decode[topo.Plan](r.Msg.Plan)
	if err != nil || s.jsonOutput() {
		return errors.Join(err, s.printJSON(r.Msg.Plan))
	}
	s.printf("plan %s is %s\n", p.Name, p.State)
	return nil
}

func (s *session) get(ctx context.Context) error {
	r, err := call(ctx, s, func(ctx context.Context, c client) (*connect.Response[adminv1.ListResponse], error) {
		return c.List(ctx, connect.NewRequest(&adminv1.ListRequest{Kind: s.flags.kind}))
	})
	if err != nil {
		return err
	}
	if s.jsonOutput() {
		return s.printList(r.Msg.Objects)
	}
	return s.printTable(s.flags.kind, r.Msg.Objects)
}

// watch prints a line for each change. With a plan's name it returns when that plan has ended, with an error if the plan failed. When
// the connection to a server is lost, it continues at the next server.
func (s *session) watch(ctx context.Context) error {
	var w watchProgress
	var err error
	for failures := 0; failures < watchAttempts*len(s.servers); failures++ {
		server := s.servers[failures%len(s.servers)]
		before := w.received
		if err = s.follow(ctx, server, &w); err == nil || !isServerFailure(err) || ctx.Err() != nil {
			break
		}
		if w.received > before {
			failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
	if err != nil && ctx.Err() != nil {
		return interrupted{s.flags.name}
	}
	if err == nil && s.flags.name != "" && w.last.State == topo.PlanFailed {
		return result.New(result.PlanFinished, "plan %s failed: %s", w.last.Name, w.last.Reason)
	}
	return err
}

// interrupted is the error of a watch that the operator has interrupted. It has no result code, since no call has failed.
type interrupted struct{ plan string }

// Error implements error.
func (i interrupted) Error() string {
	if i.plan == "" {
		return "the watch was interrupted; plans go on"
	}
	return "the wait was interrupted; plan " + i.plan + " goes on"
}

// watchProgress is the state of a watch across all servers that it has used.
type watchProgress struct {
	last     topo.Plan // received last
	received int       // number of messages
	line     string    // printed last
}

// isServerFailure reports whether a call that failed with err may succeed at another server.
func isServerFailure(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeUnknown || code == connect.CodeInternal
}

func (s *session) follow(ctx context.Context, server string, w *watchProgress) error {
	stream, err := s.client(server).Watch(ctx, connect.NewRequest(&adminv1.WatchRequest{Plan: s.flags.name}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		w.received++
		if w.last, err = topo.Decode[topo.Plan](stream.Msg().Plan.Value); err != nil {
			return err
		}
		if s.jsonOutput() {
			err = s.printJSON(stream.Msg().Plan.Value)
		} else {
			s.printProgress(w)
		}
		if err != nil {
			return err
		}
	}
	return stream.Err()
}

func (s *session) applyConfig(ctx context.Context) error {
	b, err := s.readInput(s.flags.file)
	if err != nil {
		return err
	}
	r, err := call(ctx, s, func(ctx context.Context, c client) (*connect.Response[adminv1.ApplyConfigResponse], error) {
		return c.ApplyConfig(ctx, connect.NewRequest(&adminv1.ApplyConfigRequest{Configuration: b}))
	})
	if err != nil {
		return err
	}
	if s.jsonOutput() {
		return s.printJSON(fmt.Appendf(nil, `{"revision":%d}`, r.Msg.Revision))
	}
	s.printf("revision %d is accepted\n", r.Msg.Revision)
	return nil
}

func (s *session) configHistory(ctx context.Context) error {
	r, err := call(ctx, s, func(ctx context.Context, c client) (*connect.Response[adminv1.ConfigHistoryResponse], error) {
		return c.ConfigHistory(ctx, connect.NewRequest(&adminv1.ConfigHistoryRequest{Limit: uint32(max(0, s.flags.limit))}))
	})
	if err != nil {
		return err
	}
	return s.printHistory(r.Msg.Revisions)
}
