package cmdutil

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"rhubarbshore/internal/config"
)

// ReadFolder reads the configuration in a folder that the user has named. Its
// errors say which folder to name instead.
func ReadFolder(folder string) (config.Files, error) {
	info, err := os.Stat(folder)
	if err == nil && !info.IsDir() {
		return config.Files{}, fmt.Errorf("%s is not a folder: name the folder that holds %s and the overlays", folder, config.BaseFile)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return config.Files{}, fmt.Errorf("there is no folder %s: name one that holds %s and the overlays", folder, config.BaseFile)
	}
	files, err := config.ReadDir(os.DirFS(folder))
	if err != nil {
		return config.Files{}, fmt.Errorf("the configuration in %s can't be read: %w", folder, err)
	}
	return files, nil
}
