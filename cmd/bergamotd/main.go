// Command bergamotd runs one entry VM.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
)

func main() {
	config, listen, metrics := "", "127.0.0.1:8080", ""
	p := flaggy.NewParser("bergamotd")
	p.Description = "entry VM of a serving system for a fixed fleet of model engines and plain services"
	run, check, demo := flaggy.NewSubcommand("run"), flaggy.NewSubcommand("check"), flaggy.NewSubcommand("demo")
	onPlatform := flaggy.NewSubcommand("edge")
	run.Description = "serve with the settings of a file"
	check.Description = "report every error in a settings file"
	onPlatform.Description = "serve on the users' platform, with the settings that it writes"
	demo.Description = "serve with an emulated platform, engines and services in one process"
	run.String(&config, "c", "config", "settings file")
	check.String(&config, "c", "config", "settings file")
	demo.String(&listen, "l", "listen", "address of the caller listener")
	onPlatform.String(&config, "c", "config", "the platform's settings file; without it the one in $"+platform.SettingsVariable)
	onPlatform.String(&metrics, "m", "metrics", "address of the metrics listener; a port alone listens on the VM's own address")
	for _, c := range []*flaggy.Subcommand{run, check, demo, onPlatform} {
		p.AttachSubcommand(c, 1)
	}
	if err := p.Parse(); err != nil {
		exit(err)
	}
	switch {
	case run.Used:
		exit(runFile(config))
	case onPlatform.Used:
		exit(runEdge(config, metrics))
	case check.Used:
		exit(checkFile(config))
	case demo.Used:
		exit(runDemo(listen))
	default:
		p.ShowHelpWithMessage("a command is needed: run, edge, check or demo")
		os.Exit(2)
	}
}

// exit ends the process with status 0 if err is nil and 1 otherwise. Errors in the settings are printed to standard
// output, one a line.
func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Println(f)
		}
	} else {
		fmt.Fprintln(os.Stderr, "bergamotd:", err)
	}
	os.Exit(1)
}

func checkFile(file string) error {
	_, err := settings.Load(file)
	return err
}

func runFile(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	return serve(s, server.Options{Settings: s}, nil)
}

// serve runs a server until it has stopped gracefully. Stop signals after the first have no effect. ready, unless it
// is nil, is called with the server before it runs.
func serve(s *settings.Settings, o server.Options, ready func(*server.Server)) error {
	o.Log = newLog(s.Log.Level)
	defer func() { _ = o.Log.Sync() }()
	srv, err := server.New(o)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for sig := range signals {
			o.Log.Info("signal", zap.Stringer("signal", sig))
			srv.Stop()
		}
	}()
	if ready != nil {
		ready(srv)
	}
	return srv.Run()
}

// newLog returns a logger that writes one line of key=value pairs per entry to standard error.
func newLog(level string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(os.Stderr), parsed))
}
