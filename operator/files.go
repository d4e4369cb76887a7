package operator

import (
	"errors"
	"fmt"
	"os"

	"parsleyhatch/config"
)

// readConfig reads and checks a configuration file. The error lists every problem.
func readConfig(name string) (*config.File, error) {
	if name == "" {
		return nil, errors.New("no file is named")
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
