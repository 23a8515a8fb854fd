package main

import (
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/edge"
	"bergamotcroft.example/bergamot/logs"
	"bergamotcroft.example/bergamot/platform"
)

const (
	logLevelVariable = "BERGAMOT_LOG_LEVEL"
	logFlushTimeout  = 200 * time.Millisecond // for writing the last lines before the process exits
)

// hangups receives SIGHUP. The handler is installed before main runs, since an unhandled SIGHUP ends the process.
var hangups = func() chan os.Signal {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// runEdge serves on the users' platform until a stop signal.
func runEdge(file, metrics string) error {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	level := os.Getenv(logLevelVariable)
	if level == "" {
		level = "info"
	}
	log, writer := logs.New(level, os.Stdout, logs.DefaultQueue)
	defer writer.Close(logFlushTimeout)
	loaded, err := platform.LoadSettings(file)
	if err != nil {
		log.Error("settings refused", zap.String("file", file), zap.Error(err))
		return err
	}
	if metrics != "" && !strings.Contains(metrics, ":") {
		metrics = net.JoinHostPort(loaded.IP, metrics)
	}
	e, err := edge.New(edge.Options{Settings: loaded, Metrics: metrics, Log: log, Uneven: edge.Uneven{WeightedDirectory: true, Spill: true}})
	if err != nil {
		log.Error("not started", zap.Error(err))
		return trace.Wrap(err)
	}
	start := time.Now() // a stop signal before has ended the process
	received := make(chan os.Signal, 16)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, probeSignal)
	stops := stopSignals{received: received, probe: sendProbe, onStop: func(s os.Signal, earliest time.Time) {
		log.Info("signal", zap.Stringer("signal", s), zap.Duration("sent_up_to_ms_ago", time.Since(earliest)))
		e.Stop(earliest)
	}}
	go stops.run(start)
	go func() {
		for s := range hangups {
			log.Info("signal", zap.Stringer("signal", s))
			e.Reload(platform.LoadSettings(file))
		}
	}()
	return e.Run()
}
