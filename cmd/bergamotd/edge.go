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
	logPatience      = 200 * time.Millisecond // for the last lines at the end
)

// runEdge serves on the platform until a stop signal.
func runEdge(file, metrics string) error {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	level := os.Getenv(logLevelVariable)
	if level == "" {
		level = "info"
	}
	log, writer := logs.New(level, os.Stdout, logs.DefaultQueue)
	defer writer.Close(logPatience)
	set, err := platform.LoadSettings(file)
	if err != nil {
		log.Error("settings refused", zap.String("file", file), zap.Error(err))
		return err
	}
	if metrics != "" && !strings.Contains(metrics, ":") {
		metrics = net.JoinHostPort(set.IP, metrics)
	}
	e, err := edge.New(edge.Options{Settings: set, Metrics: metrics, Log: log})
	if err != nil {
		log.Error("not started", zap.Error(err))
		return trace.Wrap(err)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			log.Info("signal", zap.Stringer("signal", s))
			if s == syscall.SIGHUP {
				e.Reload(platform.LoadSettings(file))
				continue
			}
			e.Stop()
		}
	}()
	return e.Run()
}
