// Command standin3 plays the cases 11 to 15 of the review: it starts entry nodes of the project as
// separate processes, and is their store, platform, workers and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

var (
	dirToRemove string
	running     *fleet
)

// The processes of nodes end with the thread that started them, so that is the first one.
func init() { runtime.LockOSThread() }

func exit(code int) {
	if running != nil {
		running.stopAll()
	}
	os.RemoveAll(dirToRemove)
	os.Exit(code)
}

// unable ends a case that can't run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	exit(2)
}

var cases = map[string]func(f *fleet, trouble bool) (broken []string){}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/guavagauge", "program of the project")
	recordFile := flag.String("record", "record.txt", "file of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	control := flag.Bool("control", false, "leave out what makes the difference, in the case host the requests of the other host, in the case query the changes of the query")
	keep := flag.String("logs", "", "keep the nodes' logs in this folder")
	flag.Parse()
	file, err := os.Create(*recordFile)
	if err != nil {
		unable("%v", err)
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "standin3-"); err != nil {
			unable("%v", err)
		}
		dirToRemove = dir
	}
	play := cases[*name]
	if play == nil {
		unable("no case %q", *name)
	}
	r := &record{file: file, begin: time.Now()}
	running = newFleet(*program, dir, r)
	running.control = *control
	time.AfterFunc(110*time.Second, func() { unable("the case takes too long") })
	broken := play(running, *trouble)
	for _, text := range broken {
		r.log("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		exit(1)
	}
	r.log("held")
	fmt.Println("held")
	exit(0)
}
