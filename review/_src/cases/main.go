// Command cases plays the scripts of the review: cases NAME FOLDER. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(dir string, trouble bool) (broken bool, err error){
		"watch-cut":   watchCut,
		"slow-reader": slowReader,
		"long-watch":  longWatch,
		"old-copy":    oldCopy,
		"big-bodies":  bigBodies,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// binary is the program under test.
func binary() string {
	if path := os.Getenv("BARLEYLIFT"); path != "" {
		return path
	}
	return "target/barleylift"
}
