// Command bergamot-emulator emulates the platform and the upstreams of a fleet, so that entry VMs can be tested as
// separate processes on one machine.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"bergamotcroft.example/bergamot/emulator/fleet"
	"bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/replay"
	"bergamotcroft.example/bergamot/store"
)

// options holds the flags of all subcommands.
type options struct {
	listen, file, host, only, caller, key string
	port                                  int
}

func main() {
	o := options{listen: "127.0.0.1:7400", host: "127.0.0.1", port: 7500, caller: "demo", key: "demo-key"}
	p := flaggy.NewParser("bergamot-emulator")
	p.Description = "emulates the platform and the upstreams of a fleet"
	commands := map[string]func(options) error{"platform": runPlatform, "upstreams": runUpstreams, "configuration": printConfiguration}
	descriptions := map[string]string{
		"platform":      "serve the object API, the VM list and the weight store",
		"upstreams":     "serve the upstreams of a fleet file",
		"configuration": "print the fleet as a configuration for bergamotctl config apply",
	}
	subcommands := map[string]*flaggy.Subcommand{}
	for _, name := range []string{"platform", "upstreams", "configuration"} {
		c := flaggy.NewSubcommand(name)
		c.Description = descriptions[name]
		subcommands[name] = c
		p.AttachSubcommand(c, 1)
	}
	subcommands["platform"].String(&o.listen, "l", "listen", "address of the platform")
	for _, c := range []*flaggy.Subcommand{subcommands["upstreams"], subcommands["configuration"]} {
		c.String(&o.file, "f", "fleet", "fleet file")
		c.String(&o.host, "a", "address", "IP address that the upstreams listen on")
		c.Int(&o.port, "p", "port", "port of the first upstream; the others use the ports after it")
	}
	subcommands["upstreams"].String(&o.only, "o", "only", "start only the upstream with this name")
	subcommands["configuration"].String(&o.caller, "c", "caller", "name of the account")
	subcommands["configuration"].String(&o.key, "k", "key", "API key of the account")
	if err := p.Parse(); err != nil {
		fail(err)
	}
	for name, c := range subcommands {
		if c.Used {
			if err := commands[name](o); err != nil {
				fail(err)
			}
			return
		}
	}
	p.ShowHelpWithMessage("a command is needed: platform, upstreams or configuration")
	os.Exit(2)
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "bergamot-emulator:", trace.UserMessage(err))
	os.Exit(1)
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

func runPlatform(o options) error {
	emulated := platform.New(platform.Options{Rates: store.DefaultRates})
	server := &http.Server{Addr: o.listen, Handler: emulated.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() {
		waitForSignal()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

func runUpstreams(o options) error {
	f, err := replay.LoadFleet(o.file)
	if err != nil {
		return err
	}
	var names []string
	if o.only != "" {
		names = append(names, o.only)
	}
	r, err := fleet.Start(f, fleet.AddressRange{Host: o.host, FirstPort: o.port}, names...)
	if err != nil {
		return err
	}
	defer r.Close()
	waitForSignal()
	return nil
}

func printConfiguration(o options) error {
	f, err := replay.LoadFleet(o.file)
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(fleet.Configuration(f, fleet.AddressRange{Host: o.host, FirstPort: o.port}, o.caller, o.key)))
}
