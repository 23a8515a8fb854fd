//go:build review

// Command review-harness plays the cases of the review: it starts entry VMs as processes of their own, with the command of the
// deploy file, on loopback addresses, and plays the platform's store, the servers and the clients for them.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the
// case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// A check plays a case on a rig and reports whether the rule held.
type check func(r *rig, trouble bool) (held bool, err error)

// checks holds the cases by name, with their number of entry VMs. Each case registers itself.
var checks = map[string]struct {
	entries int
	play    check
}{}

func register(name string, entries int, play check) {
	c := checks[name]
	c.entries, c.play = entries, play
	checks[name] = c
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE FOLDER")
		return 2
	}
	c, ok := checks[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRig(folder, c.entries)
	defer r.close()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		r.close()
		os.Exit(2)
	}()
	held := false
	if err == nil {
		r.note("case %s, trouble %v", os.Args[1], trouble)
		held, err = c.play(r, trouble)
	}
	if err == nil {
		err = r.fault()
	}
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case held:
		r.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	r.note("the rule was broken")
	fmt.Println("the rule was broken; see record.txt")
	return 1
}
