//go:build review2

// Command rig2 plays the cases of the second review with the project's own node program
// as separate processes and small stand-ins for the platform, endpoints and clients.
//
// The first argument is the case, the second the file for the record. With TROUBLE=0 the
// case runs without its disruption. The exit code is 0 if the rule held, 1 if it was
// broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (re *record) printf(format string, args ...any) {
	re.printAt(time.Now(), format, args...)
}

// printAt writes a line for an event at the given time.
func (re *record) printAt(at time.Time, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%9.3f s  %s\n", at.Sub(re.start).Seconds(), fmt.Sprintf(format, args...))
}

// errBroken is returned by a case that saw the rule broken.
type errBroken struct{ detail string }

func (eb errBroken) Error() string { return eb.detail }

var cases = map[string]func(re *record, trouble bool) error{
	"born": caseBorn,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	re := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	re.printf("case %s, trouble %v", os.Args[1], trouble)
	err = cases[os.Args[1]](re, trouble)
	if broken, ok := err.(errBroken); ok {
		re.printf("the rule was broken: %s", broken.detail)
		fmt.Println("broken:", broken.detail)
		return 1
	}
	if err != nil {
		re.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return 2
	}
	re.printf("the rule held")
	fmt.Println("held")
	return 0
}
