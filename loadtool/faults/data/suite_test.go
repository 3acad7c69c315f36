package data_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestData(t *testing.T) {
	directory, err := os.MkdirTemp("", "amaranthdock-faults-bin-")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(directory)
	programDirectory = directory
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

// programDirectory is the directory that the suite builds its programs in.
var programDirectory string

// buildPrograms builds the programs once for the suite and returns their
// directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	builds := [][]string{
		{"build", "-o", filepath.Join(programDirectory, "amaranthdock"), "./proxy"},
		{"build", "-o", programDirectory + "/", "./amaranthctl", "./standin"},
	}
	for _, arguments := range builds {
		command := exec.Command("go", arguments...)
		command.Dir = filepath.Join("..", "..", "..")
		command.Stdout = GinkgoWriter
		command.Stderr = GinkgoWriter
		if err := command.Run(); err != nil {
			return "", err
		}
	}
	return programDirectory, nil
})
