"""What is spoken on the sockets: codecs that know no I/O, and thin trio connections over them."""
