package operator

import (
	"errors"
	"fmt"
	"os"

	"parsleyhatch/config"
)

// readValidConfig reads and validates a configuration file. The error lists every problem.
func readValidConfig(name string) (*config.File, error) {
	if name == "" {
		return nil, errors.New("no file name is given")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	file, err := config.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("file %s: %w", name, err)
	}
	var errs []error
	for _, p := range file.Validate() {
		errs = append(errs, fmt.Errorf("file %s: %s", name, p))
	}
	return file, errors.Join(errs...)
}
