package operator

import "net/url"

var explainCommand = command{
	name:    "explain",
	summary: "show why a VM treated a request as it did",
	run:     runExplain,
}

func runExplain(e env) int {
	fs := newFlags("explain")
	admin := adminFlag(fs)
	asJSON := fs.Bool("json", false, "print the answer's JSON")
	operands, code, done := parseArguments(fs, e, "REQUEST_ID")
	if done {
		return code
	}
	if len(operands) != 1 {
		return fail(e, "explain", exitUsage, "want one request id; usage: parsleyhatch explain -admin URL REQUEST_ID")
	}
	address, err := adminURL(*admin, "/admin/explain", url.Values{"id": operands})
	if err != nil {
		return fail(e, "explain", exitUsage, "%v", err)
	}
	if err := printExplain(e, address, *asJSON); err != nil {
		return fail(e, "explain", exitFailed, "%v", err)
	}
	return exitOK
}

func printExplain(e env, address string, asJSON bool) error {
	data, err := getAdmin(address)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	list, err := fields(data)
	if err != nil {
		return err
	}
	for _, f := range list {
		printField(e.stdout, "", f)
	}
	return nil
}
