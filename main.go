// Command parsleyhatch is a multi-region inference gateway.
package main

import (
	"os"

	"parsleyhatch/operator"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Environ(), os.Stdout, os.Stderr))
}
