package sqconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCollect parses the declarations of 260 teams, 7 models and 40 services.
func BenchmarkCollect(b *testing.B) {
	var teams, models strings.Builder
	for i := range 260 {
		sum := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		fmt.Fprintf(&teams, "[[teams]]\nname = \"team%d\"\nshare = 2\n[[keys]]\nid = \"key%d\"\nteam = \"team%d\"\nsha256 = \"%s\"\n", i, i, i, hex.EncodeToString(sum[:]))
	}
	for i := range 7 {
		fmt.Fprintf(&models, "[[models]]\nname = \"model%d\"\nversion = \"1\"\n", i)
	}
	files := []File{
		NewFile(DeploymentFile, []byte("deployment = \"large\"\n[fleet]\nzones = [\"a\"]\nmaxEngines = 1100\nbillingWindowSeconds = 3600\n[weights]\ngoodput = 1\n")),
		NewFile(TeamsFile, []byte(teams.String())),
		NewFile(ModelsFile, []byte(models.String())),
	}
	for i := range 40 {
		files = append(files, NewFile(fmt.Sprintf("s%d/%s", i, ServiceFile), fmt.Appendf(nil,
			"name = \"s%d\"\nkind = \"assistant\"\nmodels = [\"model%d\"]\ndeadline = \"30s\"\nobjectivePercent = 99\n", i, i%7)))
	}
	b.ReportAllocs()
	for b.Loop() {
		_, errs := Collect(files)
		assert.Equal(b, len(errs), 0)
	}
}
