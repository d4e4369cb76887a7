package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Limits of one request to the admin listener of a VM: the time for the whole request, and the response size
// in bytes.
const (
	adminTimeout  = 10 * time.Second
	adminMaxBytes = 64 << 20
)

// adminFlag defines -admin.
func adminFlag(fs *flag.FlagSet) *string {
	return fs.String("admin", "", "URL or IP:port of a VM's admin listener")
}

// adminURL returns the URL of an admin endpoint.
func adminURL(admin, path string, query url.Values) (string, error) {
	return endpointURL("admin", admin, path, query)
}

// endpointURL returns the URL of an endpoint of the VM whose address the named setting holds. An address without a scheme uses http.
func endpointURL(setting, address, path string, query url.Values) (string, error) {
	if address == "" {
		return "", fmt.Errorf("-%s is not set", setting)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil {
		return "", fmt.Errorf("-%s: %w", setting, err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", fmt.Errorf("-%s: %q is not an http URL", setting, address)
	}
	u.Path, u.RawQuery = strings.TrimSuffix(u.Path, "/")+path, query.Encode()
	return u.String(), nil
}

// fetchAdminPage returns the response body of an admin endpoint.
func fetchAdminPage(address string) ([]byte, error) {
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Get(address)
	if err != nil {
		return nil, fmt.Errorf("-admin: %w", err)
	}
	return readOperatorPage("admin", address, resp)
}

// readOperatorPage returns the body of a response of the VM whose address the named setting holds. It returns the body with an error if the
// status is not 200.
func readOperatorPage(setting, address string, resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, adminMaxBytes))
	if err != nil {
		return nil, fmt.Errorf("-%s: read %s: %w", setting, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return data, fmt.Errorf("-%s: %s returned %s: %s", setting, address, resp.Status, bytes.TrimSpace(data))
	}
	return data, nil
}

// printIndented prints a JSON document with line breaks and indentation.
func printIndented(w io.Writer, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	_, err := fmt.Fprintln(w, out.String())
	return err
}

// jsonMember is one member of a JSON object. Its value is left undecoded.
type jsonMember struct {
	name  string
	value json.RawMessage
}

// decodeObject returns the members of a JSON object in document order.
func decodeObject(data []byte) ([]jsonMember, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.New("decode response: not a JSON object")
	}
	var list []jsonMember
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, fmt.Errorf("decode response: %w", err)
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, fmt.Errorf("decode response: %w", err)
		}
		list = append(list, jsonMember{name: name.(string), value: value})
	}
	return list, nil
}

// printMember prints a member: the content of objects and arrays on indented lines, other values after the name.
func printMember(w io.Writer, indent string, f jsonMember) {
	if members, err := decodeObject(f.value); err == nil {
		fmt.Fprintf(w, "%s%s:\n", indent, f.name)
		for _, i := range members {
			printMember(w, indent+"  ", i)
		}
		return
	}
	var items []json.RawMessage
	if bytes.HasPrefix(f.value, []byte("[")) && json.Unmarshal(f.value, &items) == nil {
		fmt.Fprintf(w, "%s%s:\n", indent, f.name)
		for i, item := range items {
			printMember(w, indent+"  ", jsonMember{name: fmt.Sprint(i), value: item})
		}
		return
	}
	var text string
	if json.Unmarshal(f.value, &text) != nil {
		text = string(f.value)
	}
	fmt.Fprintf(w, "%s%s: %s\n", indent, f.name, text)
}
