// Command sequoiadock runs the server processes and the operator commands.
package main

import (
	"os"

	"sequoiadock/app/sqoperator"
	"sequoiadock/app/sqprocess"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 {
		if code, known := sqprocess.Run(args[0], args[1:], os.Stderr); known {
			return code
		}
	}
	return sqoperator.Run(args, os.Stdout, os.Stderr, os.Getenv)
}
