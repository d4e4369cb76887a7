// Command parsleyhatch runs a multi-region inference gateway and its operator tools.
package main

import (
	"os"

	"parsleyhatch/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr))
}
