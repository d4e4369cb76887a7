package loadbench

import (
	"os"
	"testing"
)

func TestTable(t *testing.T) {
	if err := Run(os.Stdout, 1, 3, false); err != nil {
		t.Fatal(err)
	}
}
