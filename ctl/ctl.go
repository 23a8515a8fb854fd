// Package ctl is the operators' command line: bergamotctl without its main function.
//
// Invariants: it never confirms what the operator did not name; each failure gives a result code on standard error and a
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
	watchAttempts = 4                      // at each server, without a message in between
	watchPause    = 250 * time.Millisecond // before the next server
)

// callTimeout bounds each call but watch.
const callTimeout = 30 * time.Second

// Streams are the standard streams and the environment of a run.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	Env      func(string) string
}

// OSStreams returns the streams of the process.
func OSStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Getenv}
}

// flags are the arguments of all commands.
type flags struct {
	server, key, settings, output string
	file, name, with, kind        string
	limit                         int
	wait                          bool
	logs                          []string
}

// command is one subcommand and what it runs.
type command struct {
	sub   *flaggy.Subcommand
	run   func(*session, context.Context) error
	local bool // needs no server
}

// Run executes a command line without the program's name and returns the exit status.
func Run(ctx context.Context, args []string, st Streams) int {
	f := &flags{}
	p, commands := parser(f)
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

// report prints an error with its result code, if it has one.
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

func parser(f *flags) (*flaggy.Parser, []command) {
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
		{"cancel", "Stop a plan after the step in hand.", (*session).cancel},
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
			func(s *session, ctx context.Context) error { return s.change(ctx, a) })
		sub.AddPositionalValue(&f.name, "UPSTREAM", 1, true, "Name of the upstream")
		if a == topo.ActionReplace {
			sub.String(&f.with, "", "with", "Upstream that takes over")
		}
	}
	config := add(p, "config", "Apply a configuration or list the accepted revisions.", nil)
	add(config, "apply", "Make a configuration the next revision.", (*session).apply).
		String(&f.file, "f", "file", "File with the configuration (JSON with comments), - for standard input")
	add(config, "history", "List accepted revisions.", (*session).history).
		Int(&f.limit, "n", "limit", "Number of revisions; all that are kept when left out")
	story := flaggy.NewSubcommand("explain")
	story.Description = "Tell the story of one request from the logs of entry VMs."
	story.AddPositionalValue(&f.name, "ID", 1, true, "Identifier of the request")
	story.StringSlice(&f.logs, "l", "log", "Log file; may be given several times; standard input when left out")
	p.AttachSubcommand(story, 1)
	return p, append(commands, command{sub: story, run: (*session).explain, local: true})
}

// explain prints what the logs tell of one request.
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
	b, err := s.read(s.flags.file)
	if err != nil {
		return err
	}
	return s.planned(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Plan(ctx, connect.NewRequest(&adminv1.PlanRequest{Intent: b}))
	})
}

func (s *session) change(ctx context.Context, a topo.IntentAction) error {
	return s.planned(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
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

// planned shows a new plan and how to confirm it.
func (s *session) planned(ctx context.Context, f func(context.Context, client) (*connect.Response[adminv1.PlanResponse], error)) error {
	r, err := call(ctx, s, f)
	if err != nil {
		return err
	}
	p, err := topo.Decode[topo.Plan](r.Msg.Plan)
	if err != nil || s.json() {
		return errors.Join(err, s.printJSON(r.Msg.Plan))
	}
	s.printPlan(&p)
	s.printf("\nNothing has changed. To run the plan: bergamotctl confirm %s --wait\n", p.Name)
	return nil
}

func (s *session) confirm(ctx context.Context) error {
	return s.decided(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Confirm(ctx, connect.NewRequest(&adminv1.PlanName{Name: s.flags.name}))
	})
}

func (s *session) cancel(ctx context.Context) error {
	return s.decided(ctx, func(ctx context.Context, c client) (*connect.Response[adminv1.PlanResponse], error) {
		return c.Cancel(ctx, connect.NewRequest(&adminv1.PlanName{Name: s.flags.name}))
	})
}

// decided shows a plan after a decision and follows it when the operator wants to wait.
func (s *session) decided(ctx context.Context, f func(context.Context, client) (*connect.Response[adminv1.PlanResponse], error)) error {
	r, err := call(ctx, s, f)
	if err != nil {
		return err
	}
	if s.flags.wait {
		return s.watch(ctx)
	}
	p, err := topo.Decode[topo.Plan](r.Msg.Plan)
	if err != nil || s.json() {
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
	if s.json() {
		return s.printList(r.Msg.Objects)
	}
	return s.printTable(s.flags.kind, r.Msg.Objects)
}

// watch prints a line for each change. With one plan it ends with it, and fails when the plan has. It goes on at another server
// when the one that it follows ends.
func (s *session) watch(ctx context.Context) error {
	var w follower
	var err error
	for failures := 0; failures < watchAttempts*len(s.servers); failures++ {
		server := s.servers[failures%len(s.servers)]
		seen := w.seen
		if err = s.follow(ctx, server, &w); err == nil || !lostServer(err) || ctx.Err() != nil {
			break
		}
		if w.seen > seen {
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

// interrupted ends a watch that the operator has interrupted. It has no result code, since no call has failed.
type interrupted struct{ plan string }

// Error implements error.
func (i interrupted) Error() string {
	if i.plan == "" {
		return "the watch was interrupted; plans go on"
	}
	return "the wait was interrupted; plan " + i.plan + " goes on"
}

// follower is what a watch has seen on all servers.
type follower struct {
	last topo.Plan
	seen int
	line string // printed last
}

// lostServer says whether an error may be cured by another server.
func lostServer(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeUnknown || code == connect.CodeInternal
}

func (s *session) follow(ctx context.Context, server string, w *follower) error {
	stream, err := s.client(server).Watch(ctx, connect.NewRequest(&adminv1.WatchRequest{Plan: s.flags.name}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		w.seen++
		if w.last, err = topo.Decode[topo.Plan](stream.Msg().Plan.Value); err != nil {
			return err
		}
		if s.json() {
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

func (s *session) apply(ctx context.Context) error {
	b, err := s.read(s.flags.file)
	if err != nil {
		return err
	}
	r, err := call(ctx, s, func(ctx context.Context, c client) (*connect.Response[adminv1.ApplyConfigResponse], error) {
		return c.ApplyConfig(ctx, connect.NewRequest(&adminv1.ApplyConfigRequest{Configuration: b}))
	})
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(fmt.Appendf(nil, `{"revision":%d}`, r.Msg.Revision))
	}
	s.printf("revision %d is accepted\n", r.Msg.Revision)
	return nil
}

func (s *session) history(ctx context.Context) error {
	r, err := call(ctx, s, func(ctx context.Context, c client) (*connect.Response[adminv1.ConfigHistoryResponse], error) {
		return c.ConfigHistory(ctx, connect.NewRequest(&adminv1.ConfigHistoryRequest{Limit: uint32(max(0, s.flags.limit))}))
	})
	if err != nil {
		return err
	}
	return s.printHistory(r.Msg.Revisions)
}
