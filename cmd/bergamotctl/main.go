// Command bergamotctl is the operators' tool. All logic is in package ctl.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotcroft.example/bergamot/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := ctl.Run(ctx, os.Args[1:], ctl.OSStreams())
	stop()
	os.Exit(status)
}
