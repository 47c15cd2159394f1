// Some fields; the others stay as they are without the file.
seconds: 2.5
faults: []
