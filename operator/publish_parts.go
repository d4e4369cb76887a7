package operator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"parsleyhatch/config"
)

// Keys of the values in the configuration service. A part's key is partKeyPrefix and its digest.
const (
	headKey       = "parsleyhatch/head"
	partKeyPrefix = "parsleyhatch/parts/"
)

// defaultEntitiesPerPart is the default of -per-part. At the target scale it makes the head and a part about equal
// in size, so that the change of one entity transfers few bytes.
const defaultEntitiesPerPart = 100

var publishPartsCommand = command{
	name:    "publish-parts",
	summary: "write a configuration as the values to store in the configuration service",
	run:     runPublishParts,
}

func runPublishParts(e env) int {
	fs := newFlagSet("publish-parts")
	number := fs.Uint64("number", 0, "version NUMBER; must be above that of the accepted version")
	out := fs.String("out", "", "output directory; each file is named after the key of its value")
	perPart := fs.Int("per-part", defaultEntitiesPerPart, "maximum average number of entities per part")
	files, code, done := parseArguments(fs, e, "FILE...")
	switch {
	case done:
		return code
	case *number == 0:
		return failf(e, "publish-parts", exitUsage, "-number is not set; it must be above 0")
	case *out == "":
		return failf(e, "publish-parts", exitUsage, "-out is not set")
	case *perPart <= 0:
		return failf(e, "publish-parts", exitUsage, "-per-part is %d; it must be above 0", *perPart)
	case len(files) == 0:
		return failf(e, "publish-parts", exitUsage, "no file given")
	}
	if result := checkFiles(files); !result.Valid {
		for _, p := range result.Problems {
			failf(e, "publish-parts", exitFailed, "%s", p.format(len(files)))
		}
		return exitFailed
	}
	head, err := writeParts(files, *number, *perPart, *out)
	if err != nil {
		return failf(e, "publish-parts", exitFailed, "%v", err)
	}
	fmt.Fprintf(e.stdout, "version %s, %d parts in %s; publish the parts first, then the head\n", head.Version, len(head.Parts), *out)
	return exitOK
}

// writeParts writes the parts and then the head. The head comes last because it must not refer to a missing part.
func writeParts(files []string, number uint64, perPart int, out string) (config.Head, error) {
	configs, problems := readConfigFiles(files)
	if len(problems) > 0 {
		return config.Head{}, fmt.Errorf("%s", problems[0].format(len(files)))
	}
	parts, err := config.Split(configs.merged, perPart)
	if err != nil {
		return config.Head{}, fmt.Errorf("-per-part %d: %w", perPart, err)
	}
	head := config.NewHead(number, parts)
	for i, part := range parts {
		if err := writeValue(out, partKeyPrefix+head.Parts[i], part); err != nil {
			return head, err
		}
	}
	data, err := json.Marshal(head)
	if err != nil {
		return head, fmt.Errorf("encode head: %w", err)
	}
	return head, writeValue(out, headKey, data)
}

func writeValue(dir, key string, value []byte) error {
	name := filepath.Join(dir, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return fmt.Errorf("-out: %w", err)
	}
	if err := os.WriteFile(name, value, 0o644); err != nil {
		return fmt.Errorf("-out: %w", err)
	}
	return nil
}
