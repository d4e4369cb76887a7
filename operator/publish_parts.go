package operator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"parsleyhatch/config"
)

// Keys of the configuration service's values.
const (
	headKey  = "parsleyhatch/head"
	partsKey = "parsleyhatch/parts/"
)

// defaultPerPart keeps head and part at about the same size at the target scale, so that a change of
// one entity moves few bytes.
const defaultPerPart = 100

var publishPartsCommand = command{
	name:    "publish-parts",
	summary: "write a configuration as the values that the configuration service holds",
	run:     runPublishParts,
}

func runPublishParts(e env) int {
	fs := newFlags("publish-parts")
	number := fs.Uint64("number", 0, "version NUMBER, above the accepted one")
	out := fs.String("out", "", "directory to write to; each file is named as the value's key")
	perPart := fs.Int("per-part", defaultPerPart, "largest average number of entities in a part")
	files, code, done := parseArguments(fs, e, "FILE...")
	switch {
	case done:
		return code
	case *number == 0:
		return fail(e, "publish-parts", exitUsage, "-number is not set; it must be above 0")
	case *out == "":
		return fail(e, "publish-parts", exitUsage, "-out is not set")
	case *perPart <= 0:
		return fail(e, "publish-parts", exitUsage, "-per-part is %d; it must be above 0", *perPart)
	case len(files) == 0:
		return fail(e, "publish-parts", exitUsage, "no file given")
	}
	if result := check(files); !result.Valid {
		for _, p := range result.Problems {
			fail(e, "publish-parts", exitFailed, "%s", p.text(len(files)))
		}
		return exitFailed
	}
	head, err := writeParts(files, *number, *perPart, *out)
	if err != nil {
		return fail(e, "publish-parts", exitFailed, "%v", err)
	}
	fmt.Fprintf(e.stdout, "version %s, %d parts in %s; publish the parts first, then the head\n", head.Version, len(head.Parts), *out)
	return exitOK
}

// writeParts writes the head last, since it must not name a part that is missing.
func writeParts(files []string, number uint64, perPart int, out string) (config.Head, error) {
	read, problems := readConfigs(files)
	if len(problems) > 0 {
		return config.Head{}, fmt.Errorf("%s", problems[0].text(len(files)))
	}
	parts, err := config.Split(read.merged, perPart)
	if err != nil {
		return config.Head{}, fmt.Errorf("-per-part %d: %w", perPart, err)
	}
	head := config.NewHead(number, parts)
	for i, part := range parts {
		if err := writeValue(out, partsKey+head.Parts[i], part); err != nil {
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
