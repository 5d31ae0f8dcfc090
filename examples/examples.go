// Package examples holds the settings of both users' deployments at today's
// sizes, for the demo, the load tool and as a start for one's own.
package examples

import (
	"embed"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/settings"
)

//go:embed agency/settings.yaml coop/settings.yaml
var files embed.FS

// Settings returns the settings of a deployment. The error is of kind NotFound
// for a name that is not "agency" or "coop".
func Settings(deployment string) (*settings.Tree, error) {
	content, err := files.ReadFile(deployment + "/settings.yaml")
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "no deployment %q: choose agency or coop", deployment)
	}
	return settings.ParseYAML(content)
}
