mod settings;
