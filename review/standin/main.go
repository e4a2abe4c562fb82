package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// cases are the cases by number; each returns what broke the rule, or "" if it held.
var cases = map[int]func(w *world) string{1: drainCase, 2: partitionCase, 3: slowNamesCase}

func main() {
	runtime.LockOSThread() // the controller gets SIGKILL when the thread that started it ends
	number := flag.Int("case", 0, "number of the case")
	out := flag.String("out", "", "folder of record.txt")
	flag.Parse()
	time.AfterFunc(100*time.Second, func() { abort("it was not over after 100 s") }) // a run takes 120 s at most
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { abort((<-signals).String()) }()
	os.Exit(run(*number, *out))
}

// playing is the world of the case; nil: not made yet.
var playing atomic.Pointer[world]

// abort ends the program, the controller with it, and the run counts as one that could not run.
func abort(why string) {
	fmt.Fprintln(os.Stderr, "standin: the case could not run:", why)
	if w := playing.Load(); w != nil {
		w.logf("ended early: %s", why)
		w.mu.Lock()
		w.record.Flush()
		os.RemoveAll(w.dir)
	}
	os.Exit(2)
}

func run(number int, out string) (code int) {
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		return 2
	}
	var w *world
	defer func() {
		r := recover()
		if f, ok := r.(fatal); ok {
			fmt.Fprintln(os.Stderr, "standin: the case could not run:", f.text)
			code = 2
		}
		if w != nil {
			w.logf("exit code %d", code)
			w.close()
		}
		if _, ok := r.(fatal); r != nil && !ok {
			panic(r)
		}
	}()
	w = newWorld(out)
	playing.Store(w)
	broken := play(w)
	if broken != "" {
		w.logf("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
