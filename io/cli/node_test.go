package cli

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	plat "rhubarbspread/platform"
)

// TestAdmissionFlagOnThePlatform guards against a misspelt mode of admission control that starts a node with another one, or ends
// it without one line that names the value.
func TestAdmissionFlagOnThePlatform(t *testing.T) {
	const badMode, noSettings = ` is not auto, on or off`, "none.toml"
	for _, tc := range []struct {
		name     string
		args     []string
		variable string // RHUBARBSPREAD_ADMISSION, or "" for none
		want     string // in the line on standard error
	}{
		{"bad flag", []string{"-admission", "always"}, "", `"always"` + badMode},
		{"bad variable", nil, "ON", `"ON"` + badMode},
		{"a bad flag precedes a good variable", []string{"-admission=of"}, "on", `"of"` + badMode},
		{"a good flag precedes a bad variable", []string{"-admission=off"}, "always", noSettings},
		{"empty flag", []string{"-admission", ""}, "", `""` + badMode},
		{"good variable", nil, "on", noSettings},
		{"default", nil, "", noSettings},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Setenv(plat.SettingsVariable, filepath.Join(t.TempDir(), noSettings))
			if tc.variable != "" {
				t.Setenv("RHUBARBSPREAD_ADMISSION", tc.variable)
			}
			var out, errs bytes.Buffer
			code := Run(t.Context(), append([]string{"node"}, tc.args...), &out, &errs)
			line, rest, _ := strings.Cut(errs.String(), "\n")
			if code != 2 || out.Len() > 0 || rest != "" || !strings.Contains(line, tc.want) {
				t.Errorf("exit code %d, output %q, errors %q; want code 2 and one line with %q", code, out.String(), errs.String(), tc.want)
			}
		})
	}
}
