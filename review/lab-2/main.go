//go:build review

// Command lab-2 plays the cases of the second review: it starts entry VMs as separate processes on loopback, with stand-ins of
// the platform's store, of servers and of clients, and checks one rule for each case.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what broke the rule, or "" if the rule held.
var cases = map[string]func(l *lab) (broken string, err error){}

// lab is one play of a case.
type lab struct {
	program string
	dir     string // temporary, for settings and logs
	trouble bool   // the disruption is played
	start   time.Time

	mu     sync.Mutex
	record *os.File

	added   bool // the configuration has the route /later/
	store   *store
	servers []*server
	vms     []*vm
}

// note writes one line to record.txt.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// vm is an entry VM's process.
type vm struct {
	name, ip     string
	front, ready string // addresses
	settings     string
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the process has ended
}

// running reports whether the process runs.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// launch starts the process as the deploy file says.
func (l *lab) launch(v *vm) error {
	out, err := os.OpenFile(filepath.Join(l.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(l.program, "edge", "--metrics", "9464")
	for _, kept := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, kept+"="+os.Getenv(kept))
	}
	cmd.Env = append(cmd.Env, "BERGAMOTCROFT_CONFIG="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.ended = cmd, make(chan struct{})
	ended := v.ended
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		l.note("%s (pid %d) ended: %v", v.name, cmd.Process.Pid, err)
		close(ended)
	}()
	l.note("%s (pid %d) started at %s", v.name, cmd.Process.Pid, v.ip)
	return nil
}

// kill ends a process and waits for its end.
func (v *vm) kill() {
	if v.cmd != nil {
		_ = v.cmd.Process.Kill() // fails if it has ended
		<-v.ended
	}
}

func (l *lab) close() {
	for _, v := range l.vms {
		v.kill()
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/bergamotd", "the project's program")
	dir := flag.String("dir", ".", "folder of record.txt")
	flag.Parse()
	os.Exit(run(*name, *program, *dir))
}

func run(name, program, dir string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "lab-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep := os.Getenv("LAB_LOGS"); keep != "" {
		temporary = keep
	} else {
		defer os.RemoveAll(temporary)
	}
	if program, err = filepath.Abs(program); err != nil {
		return exitNotRun
	}
	l := &lab{program: program, dir: temporary, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer l.close()
	l.note("case %s, trouble %t", name, l.trouble)
	broken, err := play(l)
	switch {
	case err != nil:
		l.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		l.note("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", strings.TrimSpace(broken))
		return exitBroken
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
